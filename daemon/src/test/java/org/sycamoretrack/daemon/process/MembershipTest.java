package org.sycamoretrack.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sycamoretrack.daemon.process.SimulatedNetwork.nodeId;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;

/** Tests of the membership protocol on a simulated network. */
class MembershipTest {
  private static final long SEED = 4711;
  private static final long DETECTION_MS = 3_000;

  private final SimulatedNetwork network = new SimulatedNetwork(SEED);

  private MemberState stateSeenBy(String observer, String nodeId) {
    return network.nodes.get(observer).view().member(nodeId).map(Member::state).orElse(null);
  }

  private boolean allSee(String nodeId, MemberState state) {
    return network.nodes.keySet().stream()
        .filter(observer -> !observer.equals(nodeId))
        .allMatch(observer -> stateSeenBy(observer, nodeId) == state);
  }

  private boolean allSeeAll() {
    return network.nodes.values().stream()
        .allMatch(node -> node.view().alive().size() == network.nodes.size());
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3, 9, 50, 150, 350})
  void crashIsDetectedByAllNodesWithinTheBound(int count) {
    network.startAll(count);
    assertThat(allSeeAll()).isTrue();
    for (int crash = 0; crash < (count > 9 ? 3 : 1); crash++) {
      String crashed = nodeId(count - 1 - crash);
      network.kill(crashed);
      long tookMs = network.runUntil(10_000, () -> allSee(crashed, MemberState.DEAD));
      assertThat(tookMs).isLessThanOrEqualTo(DETECTION_MS);
    }
  }

  @ParameterizedTest
  @CsvSource({"9, 0.05", "50, 0.05", "9, 0.1"})
  void messageLossDoesNotMakeMembersDead(int count, double lossShare) {
    network.startAll(count);
    network.setLossShare(lossShare);
    for (int check = 0; check < 600; check++) {
      network.run(100);
      for (String observer : network.nodes.keySet()) {
        assertThat(network.nodes.get(observer).view().members())
            .noneMatch(member -> member.state() == MemberState.DEAD);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {9, 90})
  void partitionedZoneKeepsItsMembersAndRejoins(int count) {
    network.startAll(count);
    network.partition(
        (from, to) -> network.zoneOf(from).equals("svea-a") != network.zoneOf(to).equals("svea-a"));
    network.run(8_000);
    for (String observer : network.nodes.keySet()) {
      int expected = network.zoneOf(observer).equals("svea-a") ? count / 3 : count - count / 3;
      assertThat(network.nodes.get(observer).view().alive()).hasSize(expected);
    }

    network.partition((from, to) -> false);
    long tookMs = network.runUntil(30_000, this::allSeeAll);

    assertThat(tookMs).isLessThan(10_000);
  }

  @Test
  void pausedNodeIsDeadUntilItResumesAndDeclaresNobodyDead() {
    network.startAll(9);
    String paused = nodeId(4);
    network.pause(paused);
    long tookMs = network.runUntil(10_000, () -> allSee(paused, MemberState.DEAD));
    assertThat(tookMs).isLessThanOrEqualTo(DETECTION_MS);
    network.run(20_000);

    network.resume(paused);
    long rejoinMs = network.runUntil(10_000, this::allSeeAll);

    assertThat(rejoinMs).isLessThan(3_000);
    network.runUntil(
        5_000,
        () -> {
          assertThat(allSeeAll()).isTrue();
          return false;
        });
  }

  @Test
  void restartedNodeWithHigherEpochReplacesItsOldRecord() {
    network.startAll(9);
    String restarted = nodeId(4);
    network.kill(restarted);
    network.run(1_000);
    network.start(restarted, "svea-b", 2);
    network.introduce(restarted, nodeId(0));

    long tookMs = network.runUntil(10_000, this::allSeeAll);

    assertThat(tookMs).isLessThan(3_000);
    network.run(5_000);
    assertThat(network.nodes.values())
        .allMatch(node -> node.view().member(restarted).orElseThrow().epoch() == 2);
    assertThat(allSeeAll()).isTrue();
  }

  @Test
  void restartedNodeWithoutLeaseRefutesItsOldRecord() {
    network.startAll(9);
    String restarted = nodeId(4);
    network.kill(restarted);
    network.run(5_000);
    network.start(restarted, "svea-b", 0);
    network.introduce(restarted, nodeId(0));

    assertThat(network.runUntil(10_000, this::allSeeAll)).isLessThan(3_000);
  }

  @Test
  void leavingNodeSoonGetsNoNewWorkFromAnyNode() {
    network.startAll(90);
    String leaving = nodeId(4);
    network.nodes.get(leaving).leave();

    long tookMs = network.runUntil(10_000, () -> allSee(leaving, MemberState.LEAVING));

    assertThat(tookMs).isLessThan(2_000);
    network.run(10_000);
    assertThat(allSee(leaving, MemberState.LEAVING)).isTrue();
    assertThat(network.nodes.get(nodeId(0)).view().alive("svea-b")).hasSize(29);
  }

  @ParameterizedTest
  @CsvSource({"10", "150", "350"})
  void trafficStaysUnderItsBound(int count) {
    network.startAll(count);
    network.run(5_000);
    network.bytesSent.clear();
    long durationS = 60;
    network.run(durationS * 1_000);

    long mostBytesPerS =
        network.bytesSent.values().stream().mapToLong(bytes -> bytes / durationS).max().orElse(0);
    System.out.printf("members=%d bytesPerS=%d%n", count, mostBytesPerS);
    assertThat(mostBytesPerS).isLessThan(5_000);
  }

  @Test
  void configurationVersionOfAMemberReachesAllNodes() {
    network.startAll(9);
    network.nodes.get(nodeId(4)).setConfigVersion(7);

    long tookMs =
        network.runUntil(
            10_000,
            () ->
                network.nodes.values().stream()
                    .allMatch(
                        node -> node.view().member(nodeId(4)).orElseThrow().configVersion() == 7));

    assertThat(tookMs).isLessThan(7_000);
  }

  @Test
  void joiningNodeCausesLittleTraffic() {
    network.startAll(150);
    network.run(10_000);
    network.bytesSent.clear();
    String joining = nodeId(150);
    network.start(joining, "svea-a", 1);
    for (int i = 0; i < 150; i++) {
      network.introduce(joining, nodeId(i));
      network.introduce(nodeId(i), joining);
      network.run(50);
    }

    assertThat(allSeeAll()).isTrue();
    long total = network.bytesSent.values().stream().mapToLong(Long::longValue).sum();
    System.out.printf("joinBytes=%d joining=%d%n", total, network.bytesSent.get(joining));
    assertThat(network.bytesSent.get(joining)).isLessThan(200_000);
    assertThat(total / 150).isLessThan(50_000);
  }
}
