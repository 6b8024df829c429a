package org.sycamoretrack.daemon.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.sycamoretrack.core.version.Configuration;

/**
 * The latest configurations that were in force, so that a peer that has one of them is sent only
 * the differences.
 *
 * <p>Snapshots share unchanged resources; resources that differ between two snapshots are found by
 * their versions.
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

  /**
   * Returns the update from a version to a configuration: the differences if the version is among
   * the snapshots, else all resources.
   */
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
