package org.sycamoretrack.core.request.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The text of an item while it is made, event by event.
 *
 * <p>Events are numbered from 1 without a gap. An event that doesn't follow the last one is not
 * taken, so that the text never has an event twice or misses one, whatever a run sends. A run that
 * ends early is followed by one that goes on after the last event that was taken.
 */
public final class ItemText {
  private final StringBuilder data = new StringBuilder();
  private final TreeSet<Integer> versions = new TreeSet<>();
  private int lastEvent;

  /** Creates an empty text. */
  public ItemText() {}

  /**
   * Creates a text from what an earlier owner kept.
   *
   * @param data the data of its events
   * @param lastEvent the number of its last event
   * @param versions the versions that made it
   */
  public ItemText(String data, int lastEvent, List<Integer> versions) {
    this.data.append(data);
    this.lastEvent = lastEvent;
    this.versions.addAll(versions);
  }

  /**
   * Adds an event.
   *
   * @param number its number
   * @param eventData its data
   * @param version the version of the weights that made it, 0 when not known
   * @return false when it is not the next event; the text is unchanged then
   */
  public boolean append(int number, String eventData, int version) {
    if (number != lastEvent + 1) {
      return false;
    }
    if (lastEvent > 0) {
      data.append('\n');
    }
    data.append(eventData);
    lastEvent = number;
    if (version > 0) {
      versions.add(version);
    }
    return true;
  }

  /** Drops all events, so that the next run begins anew. */
  public void reset() {
    data.setLength(0);
    versions.clear();
    lastEvent = 0;
  }

  /** Returns the number of the last event, 0 for an empty text. */
  public int lastEvent() {
    return lastEvent;
  }

  /** Returns the data of all events, separated by line feeds. */
  public String data() {
    return data.toString();
  }

  /** Returns the versions that made an event, in rising order. */
  public List<Integer> versions() {
    return new ArrayList<>(versions);
  }

  /**
   * Returns whether the text can go on under a version of the weights.
   *
   * @param version the version of the next events
   * @param singleVersion whether all events must come from one version
   * @param minVersion the oldest version that is allowed
   */
  public boolean accepts(int version, boolean singleVersion, int minVersion) {
    if (version < minVersion) {
      return false;
    }
    return !singleVersion
        || versions.isEmpty()
        || (versions.size() == 1 && versions.first() == version);
  }
}
