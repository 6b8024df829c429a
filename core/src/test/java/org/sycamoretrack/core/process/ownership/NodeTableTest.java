package org.sycamoretrack.core.process.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link NodeTable}. */
class NodeTableTest {
  private static NodeRecord node(String id, String incarnation, boolean leaving) {
    return new NodeRecord(id, incarnation, "z", "", 0, leaving);
  }

  private final NodeTable table = new NodeTable(1_000);

  @Test
  void aNodeIsDeadWhenItsRowStaysUnchanged() {
    NodeRecord node = node("a", "1", false);
    table.onRead(Map.of(node, 5L), 0, 10);
    table.onRead(Map.of(node, 5L), 450, 460);
    table.onRead(Map.of(node, 5L), 900, 910);
    assertThat(table.isServing("a", "1")).isTrue();

    table.onRead(Map.of(node, 5L), 1_010, 1_020);
    assertThat(table.isServing("a", "1")).isFalse();

    table.onRead(Map.of(node, 6L), 1_100, 1_110);
    assertThat(table.isServing("a", "1")).isTrue();
  }

  @Test
  void aGapBetweenReadsDeclaresNoNodeDead() {
    NodeRecord node = node("a", "1", false);
    table.onRead(Map.of(node, 5L), 0, 10);

    table.onRead(Map.of(node, 6L), 60_000, 60_010);

    assertThat(table.isServing("a", "1")).isTrue();
  }

  /** After a store outage of 7 s, in which no node could write, the first read returns old rows. */
  @Test
  void aStoreOutageDeclaresNoNodeDead() {
    NodeRecord node = node("a", "1", false);
    table.onRead(Map.of(node, 5L), 0, 10);

    table.onRead(Map.of(node, 5L), 7_000, 7_010);
    assertThat(table.isServing("a", "1")).isTrue();
    table.onRead(Map.of(node, 5L), 7_500, 7_510);
    table.onRead(Map.of(node, 5L), 7_900, 7_910);
    assertThat(table.isServing("a", "1")).isTrue();

    table.onRead(Map.of(node, 5L), 8_020, 8_030);
    assertThat(table.isServing("a", "1"))
        .as("a full timeout after the end of the outage")
        .isFalse();
  }

  /** Heartbeat intervals are longer in deployments with many nodes. */
  @Test
  void theTimeoutFollowsTheHeartbeatInterval() {
    NodeRecord node = node("a", "1", false);
    table.setTimeoutMs(14_000);
    for (long atMs = 0; atMs <= 10_500; atMs += 3_500) {
      table.onRead(Map.of(node, 5L), atMs, atMs);
    }
    assertThat(table.isServing("a", "1")).isTrue();
    table.onRead(Map.of(node, 5L), 14_000, 14_000);
    assertThat(table.isServing("a", "1")).isFalse();
  }

  /**
   * Guards against a dead node that isn't detected while nodes are added or lost: each change of
   * the timeout restarted the observation of its row.
   */
  @ParameterizedTest
  @ValueSource(longs = {40, -40})
  void aDeadNodeIsDetectedWhileTheTimeoutChanges(long timeoutChangeMs) {
    NodeRecord dead = node("a", "1", false);
    NodeRecord live = node("b", "1", false);
    long readIntervalMs = 500;
    long initialTimeoutMs = 2_000;
    long timeoutMs = initialTimeoutMs;
    long heartbeat = 10;
    table.setTimeoutMs(timeoutMs);
    table.onRead(Map.of(dead, 5L, live, heartbeat), 0, 0);
    for (long atMs = readIntervalMs;
        atMs <= initialTimeoutMs + readIntervalMs;
        atMs += readIntervalMs) {
      timeoutMs += timeoutChangeMs;
      table.setTimeoutMs(timeoutMs);
      table.onRead(Map.of(dead, 5L, live, ++heartbeat), atMs, atMs);
    }
    assertThat(table.isServing("a", "1")).isFalse();
    assertThat(table.isServing("b", "1")).isTrue();
  }

  /** Nodes write at the interval that they derived from the former number of nodes. */
  @Test
  void aLiveNodeIsNotDeadWhenManyOthersAreLost() {
    NodeRecord node = node("a", "1", false);
    table.setTimeoutMs(14_000);
    table.onRead(Map.of(node, 5L), 0, 0);

    table.setTimeoutMs(3_200);
    table.onRead(Map.of(node, 5L), 1_500, 1_500);
    table.onRead(Map.of(node, 5L), 3_000, 3_000);
    table.onRead(Map.of(node, 5L), 3_400, 3_400);
    assertThat(table.isServing("a", "1")).isTrue();

    table.onRead(Map.of(node, 6L), 4_000, 4_000);
    table.onRead(Map.of(node, 6L), 5_500, 5_500);
    table.onRead(Map.of(node, 6L), 7_000, 7_000);
    table.onRead(Map.of(node, 6L), 7_200, 7_200);
    assertThat(table.isServing("a", "1")).isFalse();
  }

  @Test
  void anEarlierIncarnationIsNotServing() {
    table.onRead(Map.of(node("a", "2", false), 5L), 0, 10);

    assertThat(table.isServing("a", "1")).isFalse();
    assertThat(table.isServing("a", "2")).isTrue();
    assertThat(table.isServing("b", "1")).isFalse();
  }

  @Test
  void aLeavingNodeIsNotServingAndRanksLast() {
    table.onRead(Map.of(node("a", "1", true), 5L, node("b", "1", false), 6L), 0, 10);

    assertThat(table.isServing("a", "1")).isFalse();
    assertThat(table.takeoverRank("b", "orphan")).isZero();
    assertThat(table.takeoverRank("a", "orphan")).isEqualTo(1);
  }

  @Test
  void ranksAreDistinctAndOrphansAreSpreadOverTheNodes() {
    List<String> ids = List.of("a", "b", "c", "d");
    table.onRead(
        ids.stream().collect(Collectors.toMap(id -> node(id, "1", false), id -> 1L)), 0, 10);

    Set<String> firsts = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      String orphan = "orphan" + i;
      assertThat(ids.stream().map(id -> table.takeoverRank(id, orphan)))
          .containsExactlyInAnyOrder(0, 1, 2, 3);
      ids.stream().filter(id -> table.takeoverRank(id, orphan) == 0).forEach(firsts::add);
    }
    assertThat(firsts).hasSize(4);
  }
}
