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
 * The members as one node sees them at one time. Immutable.
 *
 * <p>All lists are in the order of the node ids, so that nodes that see the same members compute
 * the same from them. The node itself is a member like the others.
 */
public final class MembershipView {
  private final Member self;
  private final Map<String, Member> members;
  private final List<Member> alive;
  private final Map<String, List<Member>> aliveByZone;
  private final List<String> aliveIds;
  private final Map<String, List<String>> aliveIdsByZone;

  /**
   * Creates a view.
   *
   * @param self the node's record of itself
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

  /** Returns the node's record of itself. */
  public Member self() {
    return self;
  }

  /** Returns all members that are known, dead ones included. */
  public List<Member> members() {
    return List.copyOf(members.values());
  }

  /** Returns the members that take work: alive, not suspected and not leaving. */
  public List<Member> alive() {
    return alive;
  }

  /**
   * Returns the members of a zone that take work.
   *
   * @param zone the zone
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
   * @param zone the zone
   */
  public List<String> aliveIds(String zone) {
    return aliveIdsByZone.getOrDefault(zone, List.of());
  }

  /** Returns the zones with at least one member that takes work, in order. */
  public List<String> zones() {
    return aliveByZone.keySet().stream().sorted(Comparator.naturalOrder()).toList();
  }

  /**
   * Returns a member.
   *
   * @param nodeId its id
   * @return its record, empty when it is not known
   */
  public Optional<Member> member(String nodeId) {
    return Optional.ofNullable(members.get(nodeId));
  }

  /**
   * Returns whether a member takes work.
   *
   * @param nodeId its id
   */
  public boolean isAlive(String nodeId) {
    Member member = members.get(nodeId);
    return member != null && acceptsWork(member);
  }
}
