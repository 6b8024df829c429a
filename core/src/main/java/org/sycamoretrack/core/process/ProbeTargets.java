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
 * Chooses the members that a node probes, and those that probe on its behalf.
 *
 * <p>The nodes form a ring, ordered by the hash of their ids. In each round a node probes its next
 * successors that are not suspected, and one more member at random. Each member is thus probed by
 * the same number of nodes in each round, which bounds the time to detect a crash; a purely random
 * choice would leave some members without a probe for several rounds.
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

  /** Returns random members that are not suspected, except one. */
  static List<String> chooseRelays(
      List<Member> candidates, String excludedId, int max, Random random) {
    List<String> ids = new ArrayList<>();
    candidates.stream()
        .filter(member -> member.state() != MemberState.SUSPECT)
        .map(Member::nodeId)
        .filter(nodeId -> !nodeId.equals(excludedId))
        .forEach(ids::add);
    Collections.shuffle(ids, random);
    return ids.subList(0, Math.min(max, ids.size()));
  }

  private static long ringPosition(String nodeId) {
    return MurmurHash3.hash128x64(nodeId.getBytes(StandardCharsets.UTF_8))[0];
  }
}
