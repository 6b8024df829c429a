package org.sycamoretrack.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agrona.collections.Hashing;

/**
 * The records of all members, and the rules by which newer records replace older ones.
 *
 * <p>Only the node itself changes its own record. If another node assigns a different state to it,
 * the node publishes its record again with a higher incarnation, which supersedes that state
 * wherever it has spread.
 *
 * <p>Example: b learns that it is suspected at incarnation 4. It publishes that it is alive at
 * incarnation 5.
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

  /** The record of another member, with the time since which this node has had its state. */
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

    /** Returns true on the first call after each change of state. */
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

  /** Returns whether a record has changed since the last call. */
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

  /** Merges a received record if it is newer than the known one. */
  void merge(Member update, long nowMs) {
    if (update.nodeId().equals(self.nodeId())) {
      refute(update);
      return;
    }
    Entry known = entries.get(update.nodeId());
    if (known == null) {
      if (update.state() != MemberState.DEAD) {
        entries.put(update.nodeId(), new Entry(update, nowMs));
        enqueueGossip(update);
      }
    } else if (update.supersedes(known.member)) {
      if (update.state() != known.member.state()) {
        known.stateSinceMs = nowMs;
        known.verificationStarted = false;
      }
      known.member = update.withConfigVersion(newestVersion(known.member, update));
      enqueueGossip(known.member);
    } else {
      recordConfigVersion(
          update.nodeId(), sameEpoch(known.member, update) ? update.configVersion() : 0);
    }
  }

  private static boolean sameEpoch(Member known, Member update) {
    return known.epoch() == update.epoch();
  }

  private static long newestVersion(Member known, Member update) {
    return sameEpoch(known, update)
        ? Math.max(known.configVersion(), update.configVersion())
        : update.configVersion();
  }

  private void refute(Member update) {
    if (update.supersedes(self)) {
      replaceSelf(self.withIncarnation(update.epoch(), update.incarnation() + 1, self.state()));
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

  /** Changes the state of a member at its current incarnation. */
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

  /** Returns a hash of all records that are not dead, independent of their order. */
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
