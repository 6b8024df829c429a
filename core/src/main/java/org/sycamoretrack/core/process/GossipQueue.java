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
 * News that still has to be passed on.
 *
 * <p>Each piece is sent a number of times that grows with the logarithm of the number of members;
 * with random receivers that reaches all of them with high probability, and digests find what it
 * missed. What was sent least goes first: behind a backlog, as after many nodes joined at once, a
 * suspicion or its refutation must not wait its turn. News of a member replaces older news of the
 * same member.
 *
 * <p>Example: with 350 members and 3 sends for each doubling, news is sent 27 times.
 */
final class GossipQueue {
  private static final int SENDS_PER_DOUBLING = 3;

  private final TreeMap<Integer, SequencedMap<String, Member>> bySendsLeft =
      new TreeMap<>(Comparator.reverseOrder());
  private final Map<String, Integer> sendsLeft = new HashMap<>();

  void add(Member member, int memberCount) {
    Integer before = sendsLeft.remove(member.nodeId());
    if (before != null) {
      remove(before, member.nodeId());
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

  /** Returns what was sent least, counting each piece as sent once more. */
  List<Member> takeNextBatch(int max) {
    List<Member> news = new ArrayList<>();
    while (news.size() < max && !bySendsLeft.isEmpty()) {
      news.add(takeNext());
    }
    news.forEach(this::countSent);
    return news;
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
    int left = sendsLeft.remove(member.nodeId()) - 1;
    if (left > 0) {
      put(left, member);
    }
  }
}
