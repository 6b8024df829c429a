package org.sycamoretrack.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SequencedMap;
import java.util.TreeMap;

/**
 * Updates of member records that are still to be disseminated.
 *
 * <p>Each update is sent a number of times that grows with the logarithm of the number of members.
 * With random receivers it reaches all members with high probability; digests detect the rest. The
 * least sent updates go first, so that a suspicion or its refutation is not delayed by a backlog,
 * for example after many nodes joined at once. An update of a member replaces earlier ones of the
 * same member.
 *
 * <p>Example: with 350 members and 3 sends for each doubling of the number of members, an update is
 * sent 27 times.
 */
final class GossipQueue {
  private static final int SENDS_PER_DOUBLING = 3;

  private final TreeMap<Integer, SequencedMap<String, Member>> bySendsLeft =
      new TreeMap<>(Comparator.reverseOrder());
  private final Map<String, Integer> sendsLeft = new HashMap<>();

  void add(Member member, int memberCount) {
    Integer previousSends = sendsLeft.remove(member.nodeId());
    if (previousSends != null) {
      remove(previousSends, member.nodeId());
    }
    int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, memberCount));
    put(SENDS_PER_DOUBLING * doublings, member);
  }

  private void put(int sends, Member member) {
    bySendsLeft.computeIfAbsent(sends, any -> new LinkedHashMap<>()).put(member.nodeId(), member);
    sendsLeft.put(member.nodeId(), sends);
  }

  private void remove(int sends, String nodeId) {
    SequencedMap<String, Member> members = bySendsLeft.get(sends);
    members.remove(nodeId);
    if (members.isEmpty()) {
      bySendsLeft.remove(sends);
    }
  }

  boolean isEmpty() {
    return sendsLeft.isEmpty();
  }

  /** Returns the least sent updates and counts each as sent once more. */
  List<Member> takeNextBatch(int max) {
    List<Member> updates = new ArrayList<>();
    while (updates.size() < max && !bySendsLeft.isEmpty()) {
      updates.add(takeNext());
    }
    updates.forEach(this::countSent);
    return updates;
  }

  private Member takeNext() {
    Map.Entry<Integer, SequencedMap<String, Member>> first = bySendsLeft.firstEntry();
    Member member = first.getValue().pollFirstEntry().getValue();
    if (first.getValue().isEmpty()) {
      bySendsLeft.remove(first.getKey());
    }
    return member;
  }

  private void countSent(Member member) {
    int remaining = sendsLeft.remove(member.nodeId()) - 1;
    if (remaining > 0) {
      put(remaining, member);
    }
  }
}
