package org.sycamoretrack.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An immutable snapshot of the members as seen by one node.
 *
 * <p>All lists are ordered by node id, so that nodes that see the same members derive the same
 * results from them. The node itself is included.
 */
public final class MembershipView {
  private final Member self;
  private final Map<String, Member> members;
  private final List<Member> alive;
  private final Map<String, List<Member>> aliveByZone;
  private final List<String> aliveIds;
  private final Map<String, List<String>> aliveIdsByZone;

  /**
   * Creates a snapshot.
   *
   * @param self the node's own record
   * @param others the records of the other nodes, in any order
   */
  public MembershipView(Member self, Collection<Member> others) {
    this.self = self;
    TreeMap<String, Member> sorted = new TreeMap<>();
    others.forEach(member -> sorted.put(member.nodeId(), member));
    sorted.put(self.nodeId(), self);
    this.members = sorted;
    this.alive = sorted.values().stream().filter(MembershipView::acceptsWork).toList();
    this.aliveIds = alive.stream().map(Member::nodeId).toList();
    this.aliveByZone = new HashMap<>();
    this.aliveIdsByZone = new HashMap<>();
    for (Member member : alive) {
      aliveByZone.computeIfAbsent(member.zone(), any -> new ArrayList<>()).add(member);
      aliveIdsByZone.computeIfAbsent(member.zone(), any -> new ArrayList<>()).add(member.nodeId());
    }
  }

  private static boolean acceptsWork(Member member) {
    return member.state() == MemberState.ALIVE;
  }

  /** Returns the node's own record. */
  public Member self() {
    return self;
  }

  /** Returns all known members, including dead ones. */
  public List<Member> members() {
    return List.copyOf(members.values());
  }

  /** Returns the members that accept work: alive, not suspected and not leaving. */
  public List<Member> alive() {
    return alive;
  }

  /**
   * Returns the members of a zone that accept work.
   *
   * @param zone the availability zone
   */
  public List<Member> alive(String zone) {
    return aliveByZone.getOrDefault(zone, List.of());
  }

  /** Returns the node ids of {@link #alive()}. */
  public List<String> aliveIds() {
    return aliveIds;
  }

  /**
   * Returns the node ids of {@link #alive(String)}.
   *
   * @param zone the availability zone
   */
  public List<String> aliveIds(String zone) {
    return aliveIdsByZone.getOrDefault(zone, List.of());
  }

  /** Returns the sorted names of the zones with at least one member that accepts work. */
  public List<String> zones() {
    return aliveByZone.keySet().stream().sorted(Comparator.naturalOrder()).toList();
  }

  /**
   * Returns the record of a member.
   *
   * @param nodeId its id
   * @return the record, or empty if the member is unknown
   */
  public Optional<Member> member(String nodeId) {
    return Optional.ofNullable(members.get(nodeId));
  }

  /**
   * Returns whether a member accepts work.
   *
   * @param nodeId its id
   */
  public boolean isAlive(String nodeId) {
    Member member = members.get(nodeId);
    return member != null && acceptsWork(member);
  }
}
