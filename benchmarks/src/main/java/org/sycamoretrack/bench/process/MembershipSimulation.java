package org.sycamoretrack.bench.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.sycamoretrack.bench.connection.VirtualTime;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;
import org.sycamoretrack.core.process.Membership;
import org.sycamoretrack.core.process.MembershipTimings;
import org.sycamoretrack.core.process.SwimMessage;
import org.sycamoretrack.core.process.SwimMessage.Envelope;

/**
 * Simulates the membership of many nodes in virtual time, over a network that delays messages but
 * loses none.
 *
 * <p>Counts the messages and bytes sent, and measures in real time how long the nodes compute. A
 * node applies a configuration version when a probe or its response carries a higher one.
 */
final class MembershipSimulation {
  private static final double TICK_MS = 50;
  private static final double INTRA_REGION_DELAY_MS = 1;
  private static final double INTER_REGION_DELAY_MS = 20;
  private static final double CONFIG_PULL_MS = 50;

  private final VirtualTime time = new VirtualTime();
  private final List<Membership> nodes = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private final long[] configVersions;
  private final Set<Integer> stopped = new HashSet<>();
  private long messages;
  private long bytes;
  private long busyNs;

  MembershipSimulation(int size, long seed) {
    configVersions = new long[size];
    for (int i = 0; i < size; i++) {
      members.add(member(i));
    }
    for (int i = 0; i < size; i++) {
      Random random = new Random(seed * 10_007 + i);
      Membership node =
          new Membership(members.get(i), MembershipTimings.DEFAULT, random, time.nowWholeMs());
      nodes.add(node);
      int index = i;
      time.after(random.nextDouble() * TICK_MS, () -> tick(index));
    }
    SwimMessage snapshot = new SwimMessage.Snapshot(List.copyOf(members), false);
    nodes.forEach(node -> node.onMessage(members.getFirst().nodeId(), snapshot, 0));
  }

  private static Member member(int index) {
    int zone = index % ReferenceScale.ZONES;
    String address = "10." + zone + "." + index / 256 + "." + index % 256 + ":7101";
    String region = zone < ReferenceScale.ZONES / 2 ? "svealand" : "south-coast";
    return new Member("node-" + index, "zone-" + zone, region, address, 1, 1, MemberState.ALIVE, 0);
  }

  /** Advances the virtual time. */
  void run(double durationMs) {
    time.runUntil(time.nowMs() + durationMs);
  }

  void resetCounts() {
    messages = 0;
    bytes = 0;
    busyNs = 0;
  }

  void stop(int index) {
    stopped.add(index);
  }

  /** Stops the nodes of the last zone. */
  int stopZone() {
    int count = 0;
    for (int i = ReferenceScale.ZONES - 1; i < nodes.size(); i += ReferenceScale.ZONES) {
      stop(i);
      count++;
    }
    return count;
  }

  /** Returns the time until no running node considers a stopped one alive, at most a minute. */
  double failureDetectionMs() {
    double startMs = time.nowMs();
    while (time.nowMs() < startMs + 60_000 && !allFailuresDetected()) {
      run(TICK_MS);
    }
    return time.nowMs() - startMs;
  }

  private boolean allFailuresDetected() {
    for (int i = 0; i < nodes.size(); i++) {
      if (!stopped.contains(i)) {
        for (int failed : stopped) {
          if (nodes.get(i).view().isAlive(members.get(failed).nodeId())) {
            return false;
          }
        }
      }
    }
    return true;
  }

  /** Applies a version on one node and returns the time until all running nodes apply it. */
  double versionPropagationMs(long version) {
    double startMs = time.nowMs();
    applyVersion(0, version);
    while (time.nowMs() < startMs + 60_000 && !isAppliedOnAll(version)) {
      run(1);
    }
    return time.nowMs() - startMs;
  }

  private boolean isAppliedOnAll(long version) {
    for (int i = 0; i < configVersions.length; i++) {
      if (!stopped.contains(i) && configVersions[i] < version) {
        return false;
      }
    }
    return true;
  }

  private void applyVersion(int index, long version) {
    if (version > configVersions[index]) {
      configVersions[index] = version;
      nodes.get(index).setConfigVersion(version);
    }
  }

  /**
   * Returns the number of ordered pairs of running nodes where the first does not consider the
   * second alive.
   */
  int falseSuspicions() {
    int count = 0;
    for (int i = 0; i < nodes.size(); i++) {
      for (int j = 0; j < nodes.size() && !stopped.contains(i); j++) {
        boolean running = !stopped.contains(j);
        count += running && !nodes.get(i).view().isAlive(members.get(j).nodeId()) ? 1 : 0;
      }
    }
    return count;
  }

  double messagesPerNode(double durationMs) {
    return messages / (durationMs / 1_000) / (nodes.size() - stopped.size());
  }

  double bytesPerNode(double durationMs) {
    return bytes / (durationMs / 1_000) / (nodes.size() - stopped.size());
  }

  /** Returns the fraction of a core that a node uses. */
  double cpuShare(double durationMs) {
    return busyNs / (durationMs * 1e6) / (nodes.size() - stopped.size());
  }

  private void tick(int index) {
    if (stopped.contains(index)) {
      return;
    }
    long startNs = System.nanoTime();
    List<Envelope> outgoing = nodes.get(index).onTick(time.nowWholeMs());
    busyNs += System.nanoTime() - startNs;
    send(index, outgoing);
    time.after(TICK_MS, () -> tick(index));
  }

  private void send(int from, List<Envelope> envelopes) {
    for (Envelope envelope : envelopes) {
      int to = Integer.parseInt(envelope.to().substring("node-".length()));
      messages++;
      bytes += SwimFrameSize.bytes(envelope.message());
      boolean sameRegion = members.get(from).region().equals(members.get(to).region());
      double delayMs = sameRegion ? INTRA_REGION_DELAY_MS : INTER_REGION_DELAY_MS;
      time.after(delayMs, () -> receive(from, to, envelope.message()));
    }
  }

  private void receive(int from, int to, SwimMessage message) {
    if (stopped.contains(to)) {
      return;
    }
    long version =
        switch (message) {
          case SwimMessage.Ping ping -> ping.configVersion();
          case SwimMessage.Ack ack -> ack.configVersion();
          default -> 0;
        };
    if (version > configVersions[to]) {
      time.after(CONFIG_PULL_MS, () -> applyVersion(to, version));
    }
    long startNs = System.nanoTime();
    List<Envelope> outgoing =
        nodes.get(to).onMessage(members.get(from).nodeId(), message, time.nowWholeMs());
    busyNs += System.nanoTime() - startNs;
    send(to, outgoing);
  }
}
