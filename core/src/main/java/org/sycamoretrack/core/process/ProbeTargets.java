package org.sycamoretrack.core.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Chooses whom a node probes.
 *
 * <p>All nodes stand on a ring in the order of a hash of their ids. A node probes its next
 * successors that are not suspected, and one more member at random. So each member is probed by the
 * same number of nodes in each round, which bounds the time until a crash is noticed; a purely
 * random choice would leave some members without a probe for several rounds.
 *
 * <p>Example: on the ring a, d, b, c with two successors, d probes b and c, and c probes a and d.
 * When a is suspected, c probes d and b.
 */
final class ProbeTargets {
  private static final int SUCCESSORS = 2;

  private ProbeTargets() {}

  static Set<String> choose(Member self, List<Member> candidates, Random random) {
    TreeMap<Long, String> ring = new TreeMap<>();
    for (Member member : candidates) {
      if (member.state() != MemberState.SUSPECT) {
        ring.put(ringPosition(member.nodeId()), member.nodeId());
      }
    }
    Set<String> targets = new LinkedHashSet<>();
    Map.Entry<Long, String> next = ring.higherEntry(ringPosition(self.nodeId()));
    while (targets.size() < Math.min(SUCCESSORS, ring.size())) {
      next = next == null ? ring.firstEntry() : next;
      targets.add(next.getValue());
      next = ring.higherEntry(next.getKey());
    }
    if (!candidates.isEmpty()) {
      targets.add(candidates.get(random.nextInt(candidates.size())).nodeId());
    }
    return targets;
  }

  /** Returns some members at random, without one. */
  static List<String> chooseRelays(
      List<Member> candidates, String without, int max, Random random) {
    List<String> ids = new ArrayList<>();
    candidates.stream()
        .filter(member -> member.state() != MemberState.SUSPECT)
        .map(Member::nodeId)
        .filter(nodeId -> !nodeId.equals(without))
        .forEach(ids::add);
    Collections.shuffle(ids, random);
    return ids.subList(0, Math.min(max, ids.size()));
  }

  private static long ringPosition(String nodeId) {
    return MurmurHash3.hash128x64(nodeId.getBytes(StandardCharsets.UTF_8))[0];
  }
}
