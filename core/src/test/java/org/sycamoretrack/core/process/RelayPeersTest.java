package org.sycamoretrack.core.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link RelayPeers}. */
class RelayPeersTest {
  private static final int MAX_PEERS = 3;

  private final RelayPeers peers = new RelayPeers("a", MAX_PEERS);

  private static List<RelayPeers.Peer> peers(String... ids) {
    List<RelayPeers.Peer> list = new ArrayList<>();
    for (String id : ids) {
      list.add(new RelayPeers.Peer(id, id.substring(0, 1), "address of " + id));
    }
    return list;
  }

  private List<String> selected(long nowMs) {
    return peers.select(nowMs).stream().map(RelayPeers.Peer::nodeId).toList();
  }

  @ParameterizedTest
  @CsvSource({
    "a1 a2 b1 b2 c1, a1 b1 c1",
    "c1 b2 b1 a2, a2 b2 c1",
    "a1 a2 a3 a4, a1 a2 a3",
    "b1 b2, b1 b2",
    "b1 c1 d1 e1, b1 c1 d1"
  })
  void selectsPeersOfDifferentZones(String candidates, String expected) {
    peers.update(peers(candidates.split(" ")));

    assertThat(selected(0)).containsExactly(expected.split(" "));
  }

  @Test
  void replacesAPeerThatCannotReachTheServiceAndTriesItAgainLater() {
    peers.update(peers("a1", "a2", "b1", "b2", "c1"));
    assertThat(selected(0)).containsExactly("a1", "b1", "c1");

    peers.onUnavailable("b1", 0);

    assertThat(selected(1)).containsExactly("a1", "c1", "a2");
    peers.onUnavailable("a1", 100);
    assertThat(selected(101)).as("one replacement in 500 ms").containsExactly("c1", "a2");
    assertThat(selected(501)).containsExactly("c1", "a2", "b2");
    peers.onUnavailable("b2", 600);
    assertThat(selected(3_001)).as("b1 is due again").containsExactly("b1", "c1", "a2");
  }

  @ParameterizedTest
  @CsvSource({"b1, 0, true", "b1, 1499, true", "b1, 1500, false", "a1, 0, false", "x1, 0, false"})
  void knowsWhetherAnotherZoneIsReachable(String heard, long agoMs, boolean reachable) {
    peers.update(peers("a1", "b1"));
    peers.onHeard(heard, 1_000);
    peers.onUnavailable(heard, 1_000);

    assertThat(peers.hasOtherZones()).isTrue();
    assertThat(peers.isOtherZoneHeard(1_000 + agoMs)).isEqualTo(reachable);
  }

  /** Only every fifth node reaches the service, and none of the own zone. */
  @ParameterizedTest
  @ValueSource(ints = {11, 90})
  void findsAPeerThatReachesTheServiceWithinThreeSeconds(int nodes) {
    String[] ids = new String[nodes];
    Set<String> reaching = new HashSet<>();
    for (int i = 0; i < nodes; i++) {
      ids[i] = "abc".charAt(i % 3) + "-" + i;
      if (i % 5 == 4 && i % 3 != 0) {
        reaching.add(ids[i]);
      }
    }
    peers.update(peers(ids));
    long nowMs = 0;
    while (selected(nowMs).stream().noneMatch(reaching::contains)) {
      for (String id : selected(nowMs)) {
        peers.onUnavailable(id, nowMs);
      }
      nowMs += 100;
      assertThat(nowMs).isLessThan(3_000);
    }
  }

  /**
   * Guards against relaying the calls of all nodes through the same peers: with the peers in the
   * order of their ids, the first one of each zone relayed for all others.
   */
  @ParameterizedTest(name = "{0} nodes of which {1} in a hundred need peers")
  @CsvSource({"30, 35, 3", "69, 35, 6", "87, 35, 7", "350, 35, 9"})
  void spreadsTheCallsOfManyNodesOverTheirPeers(int nodes, int share, int maxNodesPerPeer) {
    List<RelayPeers.Peer> all = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      all.addAll(peers("abc".charAt(i % 3) + "-" + i));
    }
    Map<String, Integer> relayed = new HashMap<>();
    for (RelayPeers.Peer self : all.subList(0, nodes * share / 100)) {
      RelayPeers ofNode = new RelayPeers(self.zone(), MAX_PEERS);
      List<RelayPeers.Peer> others = all.stream().filter(peer -> !peer.equals(self)).toList();
      ofNode.update(RelayPeers.preferenceOrder(self.nodeId(), others));
      relayed.merge(ofNode.select(0).get(0).nodeId(), 1, Integer::sum);
    }

    assertThat(relayed.values()).allMatch(count -> count <= maxNodesPerPeer);
  }

  @Test
  void keepsTheOrderOfPreferenceWhenAPeerLeaves() {
    List<RelayPeers.Peer> all = peers("a1", "a2", "a3", "b1", "b2", "c1");
    List<RelayPeers.Peer> before = RelayPeers.preferenceOrder("a9", all);

    List<RelayPeers.Peer> after =
        RelayPeers.preferenceOrder("a9", before.stream().skip(1).toList());

    assertThat(after).isEqualTo(before.subList(1, before.size()));
  }

  @Test
  void dialsFewPeersWhileTheServiceIsDownForAll() {
    String[] ids = new String[90];
    for (int i = 0; i < ids.length; i++) {
      ids[i] = "abc".charAt(i % 3) + "-" + i;
    }
    peers.update(peers(ids));
    int dialled = 0;
    Set<String> before = new HashSet<>();
    for (long nowMs = 0; nowMs < 10_000; nowMs += 100) {
      Set<String> now = new HashSet<>(selected(nowMs));
      for (String id : now) {
        dialled += before.contains(id) ? 0 : 1;
        peers.onUnavailable(id, nowMs);
      }
      before = now;
    }

    assertThat(dialled).isLessThanOrEqualTo(MAX_PEERS + 20);
  }
}
