package org.sycamoretrack.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.sycamoretrack.core.process.SwimMessage.Ack;
import org.sycamoretrack.core.process.SwimMessage.Digest;
import org.sycamoretrack.core.process.SwimMessage.Envelope;
import org.sycamoretrack.core.process.SwimMessage.Gossip;
import org.sycamoretrack.core.process.SwimMessage.Ping;
import org.sycamoretrack.core.process.SwimMessage.PingRequest;
import org.sycamoretrack.core.process.SwimMessage.Snapshot;

/**
 * Group membership after the SWIM protocol: probes, indirect probes, suspicion and gossip.
 *
 * <p>In each round a node probes a few members. A member that does not respond is probed indirectly
 * through other members; if it does not respond to these either, it is suspected, and the suspicion
 * is disseminated. The suspected node refutes it by publishing that it is alive with a higher
 * incarnation; if it does not do so in time, it is declared dead. Updates are piggybacked on probes
 * and their acks, and are gossiped to a few members of the local zone and one of another zone.
 * Periodically two nodes compare digests of all their records and exchange the records if the
 * digests differ. This repairs what gossip missed and merges the sides of a healed partition.
 *
 * <p>The suspected node is notified directly, and every member that learned of the suspicion probes
 * the node once more before declaring it dead, so that message loss alone rarely removes a member.
 *
 * <p>A snapshot may contain states from the other side of a partition. If it marks a member as
 * suspect or dead that is alive here, that state is not adopted; the member is notified and refutes
 * it. A node that was paused itself discards its pending probes, because their acks may have been
 * lost during the pause.
 *
 * <p>The class does no I/O and has no clock: times are passed in, and messages to send are
 * returned. Not thread-safe.
 *
 * <p>Invariants: the record of a node is never replaced by an older one while it is kept; only the
 * node itself increments its incarnation.
 *
 * <p>Example, with times since the crash of c: a probes c at 200 ms, requests an indirect probe
 * from b at 500 ms, suspects c at 800 ms and declares it dead at 1,700 ms.
 */
public final class Membership {
  private static final int INDIRECT_PROBES = 3;
  private static final int MAX_UPDATES_PER_PROBE = 6;
  private static final int MAX_UPDATES_PER_GOSSIP = 24;
  private static final int ZONE_FANOUT = 2;

  /** Up to this number of members, a snapshot is requested from every node that connects. */
  private static final int MAX_MEMBERS_FOR_SNAPSHOT = 4;

  private static final long DIGEST_MS_PER_MEMBER = 100;

  private final MembershipTimings timings;
  private final Random random;
  private final MemberTable table;
  private final Map<Long, Probe> probes = new HashMap<>();
  private List<Envelope> outbox = new ArrayList<>();
  private MembershipView view;
  private long nextSeq;
  private long lastTickMs;
  private long nextProbeMs;
  private long nextGossipMs;
  private long nextDigestMs;
  private long nextReconnectMs;

  /** A pending probe, started by this node or on request of another. */
  private static final class Probe {
    private final String targetId;
    private final long incarnation;
    private final String origin;
    private final long originSeq;
    private long directDeadlineMs;
    private final long deadlineMs;
    private boolean indirect;

    Probe(Member target, String origin, long originSeq, long nowMs, MembershipTimings timings) {
      this.targetId = target.nodeId();
      this.incarnation = target.incarnation();
      this.origin = origin;
      this.originSeq = originSeq;
      this.directDeadlineMs = nowMs + timings.directTimeoutMs();
      this.deadlineMs = directDeadlineMs + timings.indirectTimeoutMs();
    }
  }

  /**
   * Creates the membership of a node that knows no other member yet.
   *
   * @param self the node's own record
   * @param timings the intervals and timeouts of the protocol
   * @param random the source of random choices
   * @param nowMs the current time in milliseconds
   */
  public Membership(Member self, MembershipTimings timings, Random random, long nowMs) {
    this.timings = timings;
    this.random = random;
    this.table = new MemberTable(self);
    this.lastTickMs = nowMs;
    this.nextProbeMs = nowMs;
    this.nextGossipMs = nowMs;
    this.nextDigestMs = nowMs + timings.digestPeriodMs();
    this.nextReconnectMs = nowMs + timings.reconnectPeriodMs();
  }

  /** Returns a snapshot of the members. */
  public MembershipView view() {
    if (table.getAndClearChanged() || view == null) {
      List<Member> others = table.entries().stream().map(MemberTable.Entry::member).toList();
      view = new MembershipView(table.self(), others);
    }
    return view;
  }

  /**
   * Raises the epoch of this node's record; a lower epoch is ignored.
   *
   * @param epoch the epoch of the node's lease
   */
  public void setEpoch(long epoch) {
    if (epoch > table.self().epoch()) {
      table.updateSelf(epoch, table.self().state());
    }
  }

  /**
   * Sets the configuration version that probes announce.
   *
   * @param configVersion the configuration version in force at this node
   */
  public void setConfigVersion(long configVersion) {
    table.setConfigVersion(configVersion);
  }

  /** Announces that this node is leaving and accepts no new work. */
  public void leave() {
    table.updateSelf(table.self().epoch(), MemberState.LEAVING);
  }

  /**
   * Handles a new connection to a peer. A node that knows few members requests all records of the
   * peer; one that knows many only sends its own record, because a new node connects to all of
   * them.
   *
   * @param peer the record that the peer sent of itself
   * @param nowMs the current time in milliseconds
   * @return messages to send
   */
  public List<Envelope> onPeerConnected(Member peer, long nowMs) {
    Member known = table.get(peer.nodeId());
    if (known == null) {
      table.merge(peer, nowMs);
    }
    if (table.size() <= MAX_MEMBERS_FOR_SNAPSHOT) {
      send(peer.nodeId(), new Snapshot(table.records(), true));
    } else if (known != null && !isPresent(known)) {
      send(peer.nodeId(), new Digest(table.digest()));
    } else {
      send(peer.nodeId(), new Gossip(List.of(table.self())));
    }
    return drainOutbox();
  }

  /**
   * Handles the loss of a connection to a member, by probing it immediately.
   *
   * @param nodeId the id of the member
   * @param nowMs the current time in milliseconds
   * @return messages to send
   */
  public List<Envelope> onPeerDisconnected(String nodeId, long nowMs) {
    Member member = table.get(nodeId);
    if (member != null && isPresent(member)) {
      probe(member, null, 0, nowMs);
    }
    return drainOutbox();
  }

  /**
   * Handles a message that could not be sent: pending probes of its receiver become indirect
   * without waiting for the timeout.
   *
   * @param nodeId the id of the receiver
   * @param nowMs the current time in milliseconds
   */
  public void onSendFailed(String nodeId, long nowMs) {
    for (Probe probe : probes.values()) {
      if (probe.targetId.equals(nodeId)) {
        probe.directDeadlineMs = nowMs;
      }
    }
  }

  /**
   * Handles a message.
   *
   * @param from the sender's node id
   * @param message the message
   * @param nowMs the current time in milliseconds
   * @return messages to send
   */
  public List<Envelope> onMessage(String from, SwimMessage message, long nowMs) {
    boolean outdated = carriesOutdatedSelf(message);
    if (!(message instanceof Snapshot)) {
      message.updates().forEach(update -> table.merge(update, nowMs));
    }
    switch (message) {
      case Ping ping -> {
        table.recordConfigVersion(from, ping.configVersion());
        send(from, new Ack(ping.seq(), configVersion(), updatesFor(from)));
      }
      case Ack ack -> onAck(from, ack);
      case PingRequest request -> onPingRequest(from, request, nowMs);
      case Gossip gossip -> {
        // Its updates were merged above.
      }
      case Digest digest -> onDigest(from, digest);
      case Snapshot snapshot -> onSnapshot(from, snapshot, nowMs);
    }
    if (outdated) {
      send(from, new Gossip(List.of(table.self())));
    }
    return drainOutbox();
  }

  /** Returns whether a message contains a record of this node with another state than its own. */
  private boolean carriesOutdatedSelf(SwimMessage message) {
    Member self = table.self();
    return message.updates().stream()
        .anyMatch(
            update ->
                update.nodeId().equals(self.nodeId())
                    && (update.supersedes(self) || self.supersedes(update))
                    && update.state() != self.state());
  }

  private void onAck(String from, Ack ack) {
    Probe probe = probes.remove(ack.seq());
    if (probe == null) {
      return;
    }
    if (probe.targetId.equals(from)) {
      table.recordConfigVersion(from, ack.configVersion());
    }
    if (probe.origin != null) {
      send(probe.origin, new Ack(probe.originSeq, configVersion(), List.of()));
    }
  }

  private void onPingRequest(String from, PingRequest request, long nowMs) {
    Member target = table.get(request.targetId());
    if (target != null) {
      probe(target, from, request.seq(), nowMs);
    }
  }

  private void onDigest(String from, Digest digest) {
    if (digest.hash() != table.digest()) {
      send(from, new Snapshot(table.records(), true));
    }
  }

  private void onSnapshot(String from, Snapshot snapshot, long nowMs) {
    for (Member update : snapshot.updates()) {
      Member known = table.get(update.nodeId());
      if (known != null && contradictsHealthyRecord(known, update)) {
        send(update.nodeId(), new Gossip(List.of(update)));
      } else {
        table.merge(update, nowMs);
      }
    }
    if (snapshot.wantsReply()) {
      send(from, new Snapshot(table.records(), false));
    }
  }

  private static boolean contradictsHealthyRecord(Member known, Member update) {
    boolean reportedFaulty =
        update.state() == MemberState.SUSPECT || update.state() == MemberState.DEAD;
    boolean knownHealthy =
        known.state() == MemberState.ALIVE || known.state() == MemberState.LEAVING;
    return reportedFaulty && knownHealthy && update.supersedes(known);
  }

  /**
   * Performs all actions that are due. To be called at least every 100 ms.
   *
   * @param nowMs the current time in milliseconds
   * @return messages to send
   */
  public List<Envelope> onTick(long nowMs) {
    compensateForOwnPause(nowMs);
    checkProbes(nowMs);
    checkSuspects(nowMs);
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + timings.probePeriodMs();
      startProbes(nowMs);
    }
    if (nowMs >= nextGossipMs) {
      nextGossipMs = nowMs + timings.gossipPeriodMs();
      gossip();
    }
    if (nowMs >= nextDigestMs) {
      long periodMs = Math.max(timings.digestPeriodMs(), table.size() * DIGEST_MS_PER_MEMBER);
      nextDigestMs = nowMs + periodMs / 2 + random.nextLong(periodMs);
      sendDigest(presentMembers());
    }
    if (nowMs >= nextReconnectMs) {
      nextReconnectMs = nowMs + timings.reconnectPeriodMs();
      sendDigest(deadMembers());
      table.removeTombstones(nowMs, timings.tombstoneMs());
    }
    return drainOutbox();
  }

  /** Extends the timeouts of other members by a pause of this node, which missed their messages. */
  private void compensateForOwnPause(long nowMs) {
    long pauseMs = nowMs - lastTickMs;
    lastTickMs = nowMs;
    if (pauseMs > timings.directTimeoutMs()) {
      probes.clear();
      table.entries().forEach(entry -> entry.postpone(pauseMs));
    }
  }

  private void startProbes(long nowMs) {
    for (String targetId : ProbeTargets.choose(table.self(), presentMembers(), random)) {
      probe(table.get(targetId), null, 0, nowMs);
    }
  }

  private void probe(Member target, String origin, long originSeq, long nowMs) {
    long seq = nextSeq++;
    probes.put(seq, new Probe(target, origin, originSeq, nowMs, timings));
    send(target.nodeId(), new Ping(seq, configVersion(), updatesFor(target.nodeId())));
  }

  private void checkProbes(long nowMs) {
    Iterator<Map.Entry<Long, Probe>> iterator = probes.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Long, Probe> entry = iterator.next();
      Probe probe = entry.getValue();
      if (nowMs >= probe.deadlineMs) {
        iterator.remove();
        if (probe.origin == null) {
          suspect(probe, nowMs);
        }
      } else if (nowMs >= probe.directDeadlineMs && !probe.indirect && probe.origin == null) {
        probe.indirect = true;
        requestIndirectProbes(entry.getKey(), probe.targetId);
      }
    }
  }

  private void requestIndirectProbes(long seq, String targetId) {
    for (String relay :
        ProbeTargets.chooseRelays(presentMembers(), targetId, INDIRECT_PROBES, random)) {
      send(relay, new PingRequest(seq, targetId, List.of()));
    }
  }

  private void suspect(Probe probe, long nowMs) {
    Member member = table.get(probe.targetId);
    boolean unchanged =
        member != null && isPresent(member) && member.incarnation() == probe.incarnation;
    if (unchanged && member.state() != MemberState.SUSPECT) {
      table.changeState(probe.targetId, MemberState.SUSPECT, nowMs);
      send(probe.targetId, new Gossip(List.of(table.get(probe.targetId))));
    }
  }

  private void checkSuspects(long nowMs) {
    List<String> expired = new ArrayList<>();
    for (MemberTable.Entry entry : table.entries()) {
      long suspectedMs = nowMs - entry.stateSinceMs();
      if (entry.member().state() != MemberState.SUSPECT) {
        continue;
      }
      if (suspectedMs >= timings.suspicionMs()) {
        expired.add(entry.member().nodeId());
      } else if (suspectedMs >= timings.suspicionMs() / 2 && entry.beginVerification()) {
        probe(entry.member(), null, 0, nowMs);
      }
    }
    expired.forEach(nodeId -> table.changeState(nodeId, MemberState.DEAD, nowMs));
  }

  private void gossip() {
    if (table.gossip().isEmpty()) {
      return;
    }
    String zone = table.self().zone();
    List<Member> present = presentMembers();
    List<Member> localMembers =
        present.stream().filter(member -> member.zone().equals(zone)).toList();
    List<Member> remoteMembers =
        present.stream().filter(member -> !member.zone().equals(zone)).toList();
    List<String> receivers = new ArrayList<>();
    receivers.addAll(ProbeTargets.chooseRelays(localMembers, "", ZONE_FANOUT, random));
    receivers.addAll(ProbeTargets.chooseRelays(remoteMembers, "", 1, random));
    for (String receiver : receivers) {
      List<Member> updates = table.gossip().takeNextBatch(MAX_UPDATES_PER_GOSSIP);
      if (!updates.isEmpty()) {
        send(receiver, new Gossip(updates));
      }
    }
  }

  private void sendDigest(List<Member> receivers) {
    if (!receivers.isEmpty()) {
      Member receiver = receivers.get(random.nextInt(receivers.size()));
      send(receiver.nodeId(), new Digest(table.digest()));
    }
  }

  /** Returns the updates to piggyback; includes the receiver's record if it is to refute it. */
  private List<Member> updatesFor(String receiver) {
    List<Member> updates = table.gossip().takeNextBatch(MAX_UPDATES_PER_PROBE);
    Member known = table.get(receiver);
    boolean mustRefute =
        known != null
            && (known.state() == MemberState.SUSPECT || known.state() == MemberState.DEAD);
    if (!mustRefute || updates.contains(known)) {
      return updates;
    }
    List<Member> withReceiver = new ArrayList<>(updates);
    withReceiver.add(known);
    return withReceiver;
  }

  private List<Member> presentMembers() {
    return table.entries().stream()
        .map(MemberTable.Entry::member)
        .filter(Membership::isPresent)
        .toList();
  }

  private List<Member> deadMembers() {
    return table.entries().stream()
        .map(MemberTable.Entry::member)
        .filter(member -> !isPresent(member))
        .toList();
  }

  private static boolean isPresent(Member member) {
    return member.state() != MemberState.DEAD;
  }

  private long configVersion() {
    return table.self().configVersion();
  }

  private void send(String to, SwimMessage message) {
    outbox.add(new Envelope(to, message));
  }

  private List<Envelope> drainOutbox() {
    List<Envelope> messages = outbox;
    outbox = new ArrayList<>();
    return messages;
  }
}
