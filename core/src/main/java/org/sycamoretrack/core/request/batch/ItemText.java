package org.sycamoretrack.core.request.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The text of an item while it is being generated, as a sequence of events.
 *
 * <p>Events are numbered from 1 without gaps. An event that does not directly follow the last one
 * is rejected, so that the text never contains a duplicate or a gap, whatever a run sends. When a
 * run ends early, the next run continues after the last accepted event.
 */
public final class ItemText {
  private final StringBuilder data = new StringBuilder();
  private final TreeSet<Integer> versions = new TreeSet<>();
  private int lastEvent;
  private boolean complete;

  /** Creates an empty text. */
  public ItemText() {}

  /**
   * Creates a text from the state saved by an earlier owner.
   *
   * @param data the data of the events, separated by line feeds
   * @param lastEvent the number of the last event
   * @param versions the weight versions that generated the events
   */
  public ItemText(String data, int lastEvent, List<Integer> versions) {
    this.data.append(data);
    this.lastEvent = lastEvent;
    this.versions.addAll(versions);
  }

  /**
   * Adds an event.
   *
   * @param number the number of the event
   * @param eventData the data of the event
   * @param version the weight version that generated the event, 0 if unknown
   * @return false if this is not the next event, which leaves the text unchanged
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

  /** Records that no event follows. */
  public void markComplete() {
    complete = true;
  }

  /** Returns whether no event follows. */
  public boolean isComplete() {
    return complete;
  }

  /** Removes all events, so that the next run starts from the beginning. */
  public void reset() {
    data.setLength(0);
    versions.clear();
    lastEvent = 0;
    complete = false;
  }

  /** Returns the number of the last event, 0 if there is none. */
  public int lastEvent() {
    return lastEvent;
  }

  /** Returns the length of the data of all events in characters. */
  public int length() {
    return data.length();
  }

  /** Returns the data of all events, separated by line feeds. */
  public String data() {
    return data.toString();
  }

  /** Returns the weight versions that generated any of the events, in ascending order. */
  public List<Integer> versions() {
    return new ArrayList<>(versions);
  }

  /**
   * Returns whether the text may be continued with a weight version.
   *
   * @param version the weight version of the next events
   * @param singleVersion whether all events must come from one weight version
   * @param minVersion the oldest weight version that is allowed
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
