package org.sycamoretrack.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agrona.collections.Hashing;

/**
 * The records of all members and the rules by which newer ones replace them.
 *
 * <p>The node's own record is changed by the node alone. When another node believes something else
 * of it, the own record is stated again with a higher incarnation, which supersedes the belief
 * wherever it spread.
 *
 * <p>Example: b hears that it is suspect at incarnation 4. It states itself alive at 5.
 */
final class MemberTable {
  private final Map<String, Entry> entries = new HashMap<>();
  private final GossipQueue gossip = new GossipQueue();
  private Member self;
  private boolean changed = true;

  MemberTable(Member self) {
    this.self = self;
    gossip.add(self, 1);
  }

  /** A record with the time since which its state has been believed here. */
  static final class Entry {
    private Member member;
    private long stateSinceMs;
    private boolean verificationStarted;

    private Entry(Member member, long sinceMs) {
      this.member = member;
      this.stateSinceMs = sinceMs;
    }

    Member member() {
      return member;
    }

    long stateSinceMs() {
      return stateSinceMs;
    }

    /** Returns true once for each time that the state changed. */
    boolean beginVerification() {
      boolean first = !verificationStarted;
      verificationStarted = true;
      return first;
    }

    void postpone(long delayMs) {
      stateSinceMs += delayMs;
    }
  }

  Member self() {
    return self;
  }

  Collection<Entry> entries() {
    return entries.values();
  }

  Member get(String nodeId) {
    Entry entry = entries.get(nodeId);
    return entry == null ? null : entry.member;
  }

  GossipQueue gossip() {
    return gossip;
  }

  int size() {
    return entries.size() + 1;
  }

  /** Returns whether a record changed since the last call. */
  boolean getAndClearChanged() {
    boolean result = changed;
    changed = false;
    return result;
  }

  void updateSelf(long epoch, MemberState state) {
    replaceSelf(self.withIncarnation(epoch, self.incarnation() + 1, state));
  }

  private void replaceSelf(Member next) {
    self = next;
    gossip.add(next, size());
    changed = true;
  }

  void setConfigVersion(long configVersion) {
    self = self.withConfigVersion(configVersion);
    changed = true;
  }

  /** Takes a record in when it is newer than what is known. */
  void merge(Member news, long nowMs) {
    if (news.nodeId().equals(self.nodeId())) {
      refute(news);
      return;
    }
    Entry known = entries.get(news.nodeId());
    if (known == null) {
      if (news.state() != MemberState.DEAD) {
        entries.put(news.nodeId(), new Entry(news, nowMs));
        enqueueGossip(news);
      }
    } else if (news.supersedes(known.member)) {
      if (news.state() != known.member.state()) {
        known.stateSinceMs = nowMs;
        known.verificationStarted = false;
      }
      known.member = news.withConfigVersion(newestVersion(known.member, news));
      enqueueGossip(known.member);
    } else {
      recordConfigVersion(news.nodeId(), sameEpoch(known.member, news) ? news.configVersion() : 0);
    }
  }

  private static boolean sameEpoch(Member known, Member news) {
    return known.epoch() == news.epoch();
  }

  private static long newestVersion(Member known, Member news) {
    return sameEpoch(known, news)
        ? Math.max(known.configVersion(), news.configVersion())
        : news.configVersion();
  }

  private void refute(Member news) {
    if (news.supersedes(self)) {
      replaceSelf(self.withIncarnation(news.epoch(), news.incarnation() + 1, self.state()));
    }
  }

  private void enqueueGossip(Member member) {
    gossip.add(member, size());
    changed = true;
  }

  void recordConfigVersion(String nodeId, long configVersion) {
    Entry entry = entries.get(nodeId);
    if (entry != null && configVersion > entry.member.configVersion()) {
      entry.member = entry.member.withConfigVersion(configVersion);
      changed = true;
    }
  }

  /** Changes the state that is believed of a member, at its present incarnation. */
  void changeState(String nodeId, MemberState state, long nowMs) {
    merge(entries.get(nodeId).member.withState(state), nowMs);
  }

  void removeTombstones(long nowMs, long tombstoneMs) {
    boolean removed =
        entries
            .values()
            .removeIf(
                entry ->
                    entry.member.state() == MemberState.DEAD
                        && nowMs - entry.stateSinceMs > tombstoneMs);
    changed |= removed;
  }

  /** Returns a hash of all records that are not dead, whatever their order. */
  long digest() {
    long hash = hash(self);
    for (Entry entry : entries.values()) {
      if (entry.member.state() != MemberState.DEAD) {
        hash += hash(entry.member);
      }
    }
    return hash;
  }

  private static long hash(Member member) {
    long mixed = member.nodeId().hashCode();
    mixed = mixed * 31 + member.epoch();
    mixed = mixed * 31 + member.incarnation();
    mixed = mixed * 31 + member.state().name().hashCode();
    return Integer.toUnsignedLong(Hashing.hash(mixed)) * 0x9E3779B97F4A7C15L;
  }

  List<Member> records() {
    List<Member> all = new ArrayList<>(size());
    all.add(self);
    entries.values().forEach(entry -> all.add(entry.member));
    return all;
  }
}
