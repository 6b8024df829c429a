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
 * Decides which nodes are members, after the SWIM protocol: probes, indirect probes, suspicion and
 * gossip.
 *
 * <p>Each round a node probes a few members. One that does not answer is probed through others; one
 * that does not answer them either is suspected, and the suspicion spreads. The suspected node
 * refutes it by stating itself alive with a higher incarnation; if it does not in time, it is dead.
 * News rides on probes and their answers, and on gossip to a few members of the own zone and one of
 * another. Now and then two nodes compare digests of all that they know and exchange it when they
 * differ, which mends what gossip missed and joins partitions that healed.
 *
 * <p>The suspected node is told directly, and every member that heard of the suspicion probes it
 * once more before it takes it for dead, so that lost messages alone hardly ever kill a member.
 *
 * <p>A snapshot may hold beliefs from the other side of a partition. A member that it calls suspect
 * or dead while it is alive here is not believed to be so: it is told, and refutes. A node that was
 * itself paused drops its probes, since their answers may have been lost while it did not run.
 *
 * <p>The class does no I/O and has no clock: times are passed in, messages are returned. It is
 * confined to one thread.
 *
 * <p>Invariants: the record of a node never goes back to an older one while it is remembered; only
 * the node itself raises its incarnation.
 *
 * <p>Example, with times from the crash of c: a probes c at 200 ms, asks b to probe it at 500 ms,
 * suspects it at 800 ms and declares it dead at 1,700 ms.
 */
public final class Membership {
  private static final int INDIRECT_PROBES = 3;
  private static final int MAX_UPDATES_PER_PROBE = 6;
  private static final int MAX_UPDATES_PER_GOSSIP = 24;
  private static final int ZONE_FANOUT = 2;

  /** The size up to which a membership is filled by snapshots from every node that is met. */
  private static final int SNAPSHOT_SIZE = 4;

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

  /** A probe under way, of this node or for another. */
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
   * Creates the membership of a node that knows nobody yet.
   *
   * @param self the node's own record
   * @param timings the times of the protocol
   * @param random the source of random choices
   * @param nowMs the present time in milliseconds
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

  /** Returns the members as seen now. */
  public MembershipView view() {
    if (table.getAndClearChanged() || view == null) {
      List<Member> others = table.entries().stream().map(MemberTable.Entry::member).toList();
      view = new MembershipView(table.self(), others);
    }
    return view;
  }

  /**
   * Raises the epoch of the own record; a lower one is ignored.
   *
   * @param epoch the epoch of the node's lease
   */
  public void setEpoch(long epoch) {
    if (epoch > table.self().epoch()) {
      table.updateSelf(epoch, table.self().state());
    }
  }

  /**
   * Sets the version that probes tell.
   *
   * @param configVersion the version of the configuration in force here
   */
  public void setConfigVersion(long configVersion) {
    table.setConfigVersion(configVersion);
  }

  /** States that the node is leaving: it takes no new work. */
  public void leave() {
    table.updateSelf(table.self().epoch(), MemberState.LEAVING);
  }

  /**
   * Takes in a node that was met on a connection. A node that knows hardly anybody asks for all
   * that the other knows; one that knows many states itself only, since a new node meets all of
   * them.
   *
   * @param met the record that it introduced itself with
   * @param nowMs the present time in milliseconds
   * @return messages to send
   */
  public List<Envelope> onPeerMet(Member met, long nowMs) {
    Member known = table.get(met.nodeId());
    if (known == null) {
      table.merge(met, nowMs);
    }
    if (table.size() <= SNAPSHOT_SIZE) {
      send(met.nodeId(), new Snapshot(table.records(), true));
    } else if (known != null && !isNotDead(known)) {
      send(met.nodeId(), new Digest(table.digest()));
    } else {
      send(met.nodeId(), new Gossip(List.of(table.self())));
    }
    return drainOutbox();
  }

  /**
   * Probes a member now, since a connection to it broke.
   *
   * @param nodeId the member
   * @param nowMs the present time in milliseconds
   * @return messages to send
   */
  public List<Envelope> onPeerLost(String nodeId, long nowMs) {
    Member member = table.get(nodeId);
    if (member != null && isNotDead(member)) {
      probe(member, null, 0, nowMs);
    }
    return drainOutbox();
  }

  /**
   * Notes that a message could not be sent: probes of that member go on through others at once.
   *
   * @param nodeId the receiver
   * @param nowMs the present time in milliseconds
   */
  public void onSendFailed(String nodeId, long nowMs) {
    for (Probe probe : probes.values()) {
      if (probe.targetId.equals(nodeId)) {
        probe.directDeadlineMs = nowMs;
      }
    }
  }

  /**
   * Takes a message in.
   *
   * @param from the sender's node id
   * @param message the message
   * @param nowMs the present time in milliseconds
   * @return messages to send
   */
  public List<Envelope> onMessage(String from, SwimMessage message, long nowMs) {
    boolean outdated = carriesOutdatedSelf(message);
    if (!(message instanceof Snapshot)) {
      message.news().forEach(news -> table.merge(news, nowMs));
    }
    switch (message) {
      case Ping ping -> {
        table.recordConfigVersion(from, ping.configVersion());
        send(from, new Ack(ping.seq(), configVersion(), updatesFor(from)));
      }
      case Ack ack -> onAck(from, ack);
      case PingRequest request -> onPingRequest(from, request, nowMs);
      case Gossip gossip -> {
        // Its news was taken in already.
      }
      case Digest digest -> onDigest(from, digest);
      case Snapshot snapshot -> onSnapshot(from, snapshot, nowMs);
    }
    if (outdated) {
      send(from, new Gossip(List.of(table.self())));
    }
    return drainOutbox();
  }

  /** Returns whether the sender holds a record of this node that is not its present one. */
  private boolean carriesOutdatedSelf(SwimMessage message) {
    Member self = table.self();
    return message.news().stream()
        .anyMatch(
            news ->
                news.nodeId().equals(self.nodeId())
                    && (news.supersedes(self) || self.supersedes(news))
                    && news.state() != self.state());
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
    for (Member news : snapshot.news()) {
      Member known = table.get(news.nodeId());
      if (known != null && contradictsHealthyRecord(known, news)) {
        send(news.nodeId(), new Gossip(List.of(news)));
      } else {
        table.merge(news, nowMs);
      }
    }
    if (snapshot.wantsReply()) {
      send(from, new Snapshot(table.records(), false));
    }
  }

  private static boolean contradictsHealthyRecord(Member known, Member news) {
    boolean accuses = news.state() == MemberState.SUSPECT || news.state() == MemberState.DEAD;
    boolean clean = known.state() == MemberState.ALIVE || known.state() == MemberState.LEAVING;
    return accuses && clean && news.supersedes(known);
  }

  /**
   * Does what is due. Call it at least every 100 ms.
   *
   * @param nowMs the present time in milliseconds
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
      sendDigest(notDead());
    }
    if (nowMs >= nextReconnectMs) {
      nextReconnectMs = nowMs + timings.reconnectPeriodMs();
      sendDigest(dead());
      table.removeTombstones(nowMs, timings.tombstoneMs());
    }
    return drainOutbox();
  }

  /** Gives others the time that this node did not run: it could not have heard them. */
  private void compensateForOwnPause(long nowMs) {
    long pauseMs = nowMs - lastTickMs;
    lastTickMs = nowMs;
    if (pauseMs > timings.directTimeoutMs()) {
      probes.clear();
      table.entries().forEach(entry -> entry.postpone(pauseMs));
    }
  }

  private void startProbes(long nowMs) {
    for (String targetId : ProbeTargets.choose(table.self(), notDead(), random)) {
      probe(table.get(targetId), null, 0, nowMs);
    }
  }

  private void probe(Member target, String origin, long originSeq, long nowMs) {
    long seq = nextSeq++;
    probes.put(seq, new Probe(target, origin, originSeq, nowMs, timings));
    send(target.nodeId(), new Ping(seq, configVersion(), updatesFor(target.nodeId())));
  }

  private void checkProbes(long nowMs) {
    Iterator<Map.Entry<Long, Probe>> next = probes.entrySet().iterator();
    while (next.hasNext()) {
      Map.Entry<Long, Probe> entry = next.next();
      Probe probe = entry.getValue();
      if (nowMs >= probe.deadlineMs) {
        next.remove();
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
    for (String relay : ProbeTargets.chooseRelays(notDead(), targetId, INDIRECT_PROBES, random)) {
      send(relay, new PingRequest(seq, targetId, List.of()));
    }
  }

  private void suspect(Probe probe, long nowMs) {
    Member member = table.get(probe.targetId);
    boolean unchanged =
        member != null && isNotDead(member) && member.incarnation() == probe.incarnation;
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
    List<Member> present = notDead();
    List<Member> near = present.stream().filter(member -> member.zone().equals(zone)).toList();
    List<Member> far = present.stream().filter(member -> !member.zone().equals(zone)).toList();
    List<String> receivers = new ArrayList<>();
    receivers.addAll(ProbeTargets.chooseRelays(near, "", ZONE_FANOUT, random));
    receivers.addAll(ProbeTargets.chooseRelays(far, "", 1, random));
    for (String receiver : receivers) {
      List<Member> news = table.gossip().takeNextBatch(MAX_UPDATES_PER_GOSSIP);
      if (!news.isEmpty()) {
        send(receiver, new Gossip(news));
      }
    }
  }

  private void sendDigest(List<Member> receivers) {
    if (!receivers.isEmpty()) {
      Member receiver = receivers.get(random.nextInt(receivers.size()));
      send(receiver.nodeId(), new Digest(table.digest()));
    }
  }

  /** Returns news to ride along, and what is believed of the receiver when it should refute it. */
  private List<Member> updatesFor(String receiver) {
    List<Member> news = table.gossip().takeNextBatch(MAX_UPDATES_PER_PROBE);
    Member known = table.get(receiver);
    boolean accused =
        known != null
            && (known.state() == MemberState.SUSPECT || known.state() == MemberState.DEAD);
    if (!accused || news.contains(known)) {
      return news;
    }
    List<Member> withAccusation = new ArrayList<>(news);
    withAccusation.add(known);
    return withAccusation;
  }

  private List<Member> notDead() {
    return table.entries().stream()
        .map(MemberTable.Entry::member)
        .filter(Membership::isNotDead)
        .toList();
  }

  private List<Member> dead() {
    return table.entries().stream()
        .map(MemberTable.Entry::member)
        .filter(member -> !isNotDead(member))
        .toList();
  }

  private static boolean isNotDead(Member member) {
    return member.state() != MemberState.DEAD;
  }

  private long configVersion() {
    return table.self().configVersion();
  }

  private void send(String to, SwimMessage message) {
    outbox.add(new Envelope(to, message));
  }

  private List<Envelope> drainOutbox() {
    List<Envelope> taken = outbox;
    outbox = new ArrayList<>();
    return taken;
  }
}
