package org.sycamoretrack.daemon.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.sycamoretrack.core.version.Configuration;

/**
 * The configurations that were in force lately, so that a peer which has one of them is sent the
 * differences only.
 *
 * <p>Snapshots share their resources, so that the differences between two are found by version.
 */
final class ConfigurationHistory {
  private static final int MAX_SNAPSHOTS = 16;

  private final Deque<Configuration> snapshots = new ArrayDeque<>();

  void add(Configuration configuration) {
    snapshots.addLast(configuration);
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.removeFirst();
    }
  }

  /** Returns what leads from a version to a configuration. */
  ConfigMessage.Update updateFrom(long version, Configuration to) {
    for (Configuration snapshot : snapshots) {
      if (snapshot.version() == version) {
        return difference(snapshot, to);
      }
    }
    return new ConfigMessage.Update(
        ConfigMessage.Update.FULL, to.version(), to.resources(), List.of());
  }

  private static ConfigMessage.Update difference(Configuration from, Configuration to) {
    return new ConfigMessage.Update(
        from.version(), to.version(), to.changedSince(from), to.removedSince(from));
  }
}
