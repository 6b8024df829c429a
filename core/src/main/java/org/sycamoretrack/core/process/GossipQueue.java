package org.sycamoretrack.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * News that still has to be passed on.
 *
 * <p>Each piece is sent a number of times that grows with the logarithm of the number of members;
 * with random receivers that reaches all of them with high probability, and digests find what it
 * missed. The freshest news goes first. News of a member replaces older news of the same member.
 *
 * <p>Example: with 350 members and 3 sends for each doubling, news is sent 27 times.
 */
final class GossipQueue {
  private static final int SENDS_PER_DOUBLING = 3;

  private final Map<String, Entry> entries = new HashMap<>();

  /** News with the number of times that it will still be sent. */
  private static final class Entry {
    private final Member member;
    private int sendsLeft;

    Entry(Member member, int sendsLeft) {
      this.member = member;
      this.sendsLeft = sendsLeft;
    }
  }

  void add(Member member, int memberCount) {
    int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, memberCount));
    entries.put(member.nodeId(), new Entry(member, SENDS_PER_DOUBLING * doublings));
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the freshest news, counting each piece as sent once. */
  List<Member> take(int max) {
    if (entries.isEmpty()) {
      return List.of();
    }
    List<Entry> freshest = new ArrayList<>(entries.values());
    freshest.sort(
        Comparator.comparingInt((Entry entry) -> -entry.sendsLeft)
            .thenComparing(entry -> entry.member.nodeId()));
    List<Member> news = new ArrayList<>();
    Iterator<Entry> next = freshest.iterator();
    while (news.size() < max && next.hasNext()) {
      Entry entry = next.next();
      news.add(entry.member);
      if (--entry.sendsLeft <= 0) {
        entries.remove(entry.member.nodeId());
      }
    }
    return news;
  }
}
