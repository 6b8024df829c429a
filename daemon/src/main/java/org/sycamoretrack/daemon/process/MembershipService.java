package org.sycamoretrack.daemon.process;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;
import org.sycamoretrack.core.process.Membership;
import org.sycamoretrack.core.process.MembershipTimings;
import org.sycamoretrack.core.process.MembershipView;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.SwimMessage;
import org.sycamoretrack.daemon.connection.PeerIdentity;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.farend.HostList;

/**
 * Runs the membership protocol of a node on its control thread, over the peer link.
 *
 * <p>The service dials the seed addresses, the entry hosts of the host list and every member that
 * it hears of; an address is forgotten when no seed, host or remembered member has it. Changes
 * publish a new view at the next tick, which any thread may read.
 *
 * <p>Once a second the node sends its load to nodes of its zone and of other zones. To bound the
 * traffic it sends to {@value #LOAD_RECEIVERS_PER_ROUND} of either a round, in turn: with 4 nodes
 * in each of 3 zones the zone hears it every second and the others every 2 s.
 */
public final class MembershipService {
  private static final long TICK_MS = 50;
  private static final long LOAD_PERIOD_MS = 1_000;
  private static final long HOSTS_PERIOD_MS = 10_000;
  private static final double JITTER_SHARE = 0.1;
  private static final int LOAD_RECEIVERS_PER_ROUND = 6;
  private static final System.Logger LOGGER = System.getLogger(MembershipService.class.getName());

  private final ControlAgent control;
  private final PeerLink link;
  private final List<InetSocketAddress> seeds;
  private final HostList hostList;
  private final Membership membership;
  private final List<Consumer<MembershipView>> listeners = new CopyOnWriteArrayList<>();
  private final List<BiConsumer<String, byte[]>> loadListeners = new CopyOnWriteArrayList<>();
  private final Set<InetSocketAddress> hosts = new HashSet<>();
  private volatile MembershipView view;
  private volatile Supplier<byte[]> loadSource = () -> null;
  private int ownZoneCursor;
  private int otherZonesCursor;

  private MembershipService(Builder builder) {
    this.control = Objects.requireNonNull(builder.control, "control");
    this.link = Objects.requireNonNull(builder.link, "link");
    this.seeds = List.copyOf(builder.seeds);
    this.hostList = builder.hostList;
    this.membership =
        new Membership(
            Objects.requireNonNull(builder.self, "self"),
            builder.timings,
            builder.random,
            MonotonicClock.nowMs());
    this.view = membership.view();
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Joins: dials the seeds and begins to probe. Call it before the control thread is stopped. */
  public void start() {
    SwimFrame.register(link, (from, message) -> control.execute(() -> onMessage(from, message)));
    link.onMessage(LoadFrame.TYPE, LoadFrame::read, this::onLoadFrame);
    link.onConnected(peer -> control.execute(() -> onPeerConnected(peer)));
    link.onIntroduced(peer -> control.execute(() -> onPeerConnected(peer)));
    link.onDisconnected(
        nodeId ->
            control.execute(() -> sendAll(membership.onPeerLost(nodeId, MonotonicClock.nowMs()))));
    control.scheduleAtFixedRate("membership", TICK_MS, JITTER_SHARE, this::onTick);
    control.scheduleAtFixedRate("load", LOAD_PERIOD_MS, JITTER_SHARE, this::sendLoad);
    if (hostList != null) {
      control.scheduleAtFixedRate("hosts", HOSTS_PERIOD_MS, JITTER_SHARE, this::readHosts);
      readHosts();
    }
    seeds.forEach(link::dial);
  }

  /** Returns the members as seen now. May be called from any thread. */
  public MembershipView view() {
    return view;
  }

  /**
   * Adds a listener of changes of the members; a change of their versions of the configuration
   * alone is not told.
   *
   * @param listener called on the control thread
   */
  public void onChange(Consumer<MembershipView> listener) {
    listeners.add(listener);
  }

  /**
   * Adds a listener of the loads that nodes of the zone send.
   *
   * @param listener called on an event loop with the sender's node id and its bytes
   */
  public void onLoad(BiConsumer<String, byte[]> listener) {
    loadListeners.add(listener);
  }

  /**
   * Sets what this node tells of its load.
   *
   * @param supplier called on the control thread each second; null sends nothing
   */
  public void setLoadSource(Supplier<byte[]> supplier) {
    loadSource = supplier;
  }

  /**
   * Tells the epoch of the node's lease. May be called from any thread.
   *
   * @param epoch the epoch; a lower one than before is ignored
   */
  public void setEpoch(long epoch) {
    control.execute(
        () -> {
          membership.setEpoch(epoch);
          publish();
        });
  }

  /**
   * Tells the version of the configuration in force. May be called from any thread.
   *
   * @param configVersion the version
   */
  public void setConfigVersion(long configVersion) {
    control.execute(
        () -> {
          membership.setConfigVersion(configVersion);
          publish();
        });
  }

  /** States that this node is leaving. May be called from any thread. */
  public void leave() {
    control.execute(
        () -> {
          membership.leave();
          publish();
        });
  }

  private void onMessage(String from, SwimMessage message) {
    sendAll(membership.onMessage(from, message, MonotonicClock.nowMs()));
  }

  private void onPeerConnected(PeerIdentity peer) {
    if (!isAddress(peer.address())) {
      LOGGER.log(
          System.Logger.Level.WARNING,
          LogEvent.of("peer-address-invalid").with("member", peer.nodeId()));
      return;
    }
    Member met =
        new Member(
            peer.nodeId(),
            peer.zone(),
            peer.region(),
            peer.address(),
            peer.epoch(),
            0,
            MemberState.ALIVE,
            0);
    sendAll(membership.onPeerMet(met, MonotonicClock.nowMs()));
    publish();
  }

  private static boolean isAddress(String text) {
    try {
      Addresses.parse(text);
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private void onTick() {
    sendAll(membership.onTick(MonotonicClock.nowMs()));
    publish();
  }

  private void sendAll(List<SwimMessage.Envelope> envelopes) {
    for (SwimMessage.Envelope envelope : envelopes) {
      if (!link.send(envelope.to(), new SwimFrame(envelope.message()))) {
        membership.onSendFailed(envelope.to(), MonotonicClock.nowMs());
      }
    }
  }

  /**
   * Publishes the view when it changed. Messages leave this to the next tick, since after a change
   * of the configuration each member's version changes soon after the other.
   */
  private void publish() {
    MembershipView next = membership.view();
    MembershipView before = view;
    if (next == before) {
      return;
    }
    view = next;
    if (hasSameMembers(before, next)) {
      return;
    }
    logChanges(before, next);
    updateDialledAddresses(next);
    listeners.forEach(listener -> listener.accept(next));
  }

  /** Returns whether two views differ in versions of the configuration only. */
  private static boolean hasSameMembers(MembershipView one, MembershipView other) {
    List<Member> members = other.members();
    return one.members().size() == members.size()
        && members.stream()
            .allMatch(
                member ->
                    one.member(member.nodeId())
                        .filter(
                            before ->
                                before.withConfigVersion(0).equals(member.withConfigVersion(0)))
                        .isPresent());
  }

  private static void logChanges(MembershipView before, MembershipView next) {
    for (Member member : next.members()) {
      MemberState old = before.member(member.nodeId()).map(Member::state).orElse(null);
      if (old != member.state()) {
        LOGGER.log(
            System.Logger.Level.INFO,
            LogEvent.of("member-changed")
                .with("member", member.nodeId())
                .with("from", old)
                .with("to", member.state())
                .with("epoch", member.epoch())
                .with("incarnation", member.incarnation()));
      }
    }
  }

  private void updateDialledAddresses(MembershipView next) {
    Set<InetSocketAddress> wanted = new HashSet<>(seeds);
    wanted.addAll(hosts);
    for (Member member : next.members()) {
      if (!member.nodeId().equals(next.self().nodeId())) {
        wanted.add(Addresses.parse(member.address()));
      }
    }
    Set<InetSocketAddress> dialled = link.dialled();
    wanted.remove(link.address());
    wanted.stream().filter(address -> !dialled.contains(address)).forEach(link::dial);
    dialled.stream().filter(address -> !wanted.contains(address)).forEach(link::forget);
  }

  private void readHosts() {
    hostList
        .hosts()
        .whenComplete(
            (snapshot, failure) -> {
              if (failure == null) {
                control.execute(() -> onHosts(snapshot));
              }
            });
  }

  private void onHosts(HostList.Snapshot snapshot) {
    hosts.clear();
    for (HostList.Host host : snapshot.hosts()) {
      if (host.role() == HostList.Role.ENTRY && host.state() == HostList.State.LIVE) {
        hosts.add(new InetSocketAddress(host.address(), host.port()));
      }
    }
    updateDialledAddresses(view);
  }

  private void sendLoad() {
    byte[] payload = loadSource.get();
    if (payload == null) {
      return;
    }
    LoadFrame frame = new LoadFrame(payload);
    String zone = view.self().zone();
    List<String> others = new ArrayList<>();
    for (Member member : view.alive()) {
      if (!member.zone().equals(zone)) {
        others.add(member.nodeId());
      }
    }
    ownZoneCursor = sendRoundRobin(frame, view.aliveIds(zone), ownZoneCursor);
    otherZonesCursor = sendRoundRobin(frame, others, otherZonesCursor);
  }

  /** Sends to a few receivers, the next ones in turn; returns where the next round goes on. */
  private int sendRoundRobin(LoadFrame frame, List<String> receivers, int turn) {
    int next = turn;
    int sent = 0;
    for (int tried = 0; tried < receivers.size() && sent < LOAD_RECEIVERS_PER_ROUND; tried++) {
      String receiver = receivers.get(next++ % receivers.size());
      if (!receiver.equals(view.self().nodeId()) && link.send(receiver, frame)) {
        sent++;
      }
    }
    return next % Math.max(1, receivers.size());
  }

  private void onLoadFrame(String from, LoadFrame frame) {
    loadListeners.forEach(listener -> listener.accept(from, frame.payload()));
  }

  /** Builds a {@link MembershipService}. */
  public static final class Builder {
    private ControlAgent control;
    private PeerLink link;
    private Member self;
    private Collection<InetSocketAddress> seeds = List.of();
    private HostList hostList;
    private MembershipTimings timings = MembershipTimings.DEFAULT;
    private Random random = new Random();

    private Builder() {}

    /**
     * Sets the control thread.
     *
     * @param control runs the protocol
     * @return this builder
     */
    public Builder control(ControlAgent control) {
      this.control = control;
      return this;
    }

    /**
     * Sets the peer link.
     *
     * @param link carries the messages
     * @return this builder
     */
    public Builder link(PeerLink link) {
      this.link = link;
      return this;
    }

    /**
     * Sets the node's own record.
     *
     * @param self the record, alive at incarnation 0
     * @return this builder
     */
    public Builder self(Member self) {
      this.self = self;
      return this;
    }

    /**
     * Sets the addresses that are dialled first and never forgotten.
     *
     * @param seeds peer addresses
     * @return this builder
     */
    public Builder seeds(Collection<InetSocketAddress> seeds) {
      this.seeds = seeds;
      return this;
    }

    /**
     * Sets where further nodes are found.
     *
     * @param hostList the host list, or null
     * @return this builder
     */
    public Builder hostList(HostList hostList) {
      this.hostList = hostList;
      return this;
    }

    /**
     * Sets the times of the protocol.
     *
     * @param timings the times
     * @return this builder
     */
    public Builder timings(MembershipTimings timings) {
      this.timings = timings;
      return this;
    }

    /**
     * Sets the source of random choices.
     *
     * @param random used on the control thread only
     * @return this builder
     */
    public Builder random(Random random) {
      this.random = random;
      return this;
    }

    /** Returns the service, which does nothing until {@link #start}. */
    public MembershipService build() {
      return new MembershipService(this);
    }
  }
}
