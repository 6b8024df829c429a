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
import org.sycamoretrack.daemon.client.HostList;
import org.sycamoretrack.daemon.connection.PeerIdentity;
import org.sycamoretrack.daemon.connection.PeerLink;

/**
 * Runs the membership protocol of a node on its control thread, over the peer link.
 *
 * <p>The service dials the seed addresses, the entry hosts of the host list and every known member.
 * It closes the connection to an address that no longer belongs to a seed, host or member. Changes
 * are published as a new view at the next tick, which any thread may read.
 *
 * <p>Once a second the node sends its load to nodes of its own zone and of other zones. To bound
 * the traffic, each round sends to at most {@value #LOAD_RECEIVERS_PER_ROUND} nodes of either
 * group, selected round-robin: with 4 nodes in each of 3 zones, nodes of the own zone receive it
 * every second and the others every 2 s.
 */
public final class MembershipService {
  private static final long TICK_MS = 50;
  private static final long LOAD_PERIOD_MS = 1_000;
  private static final long HOSTS_PERIOD_MS = 10_000;
  private static final double JITTER_SHARE = 0.1;
  private static final int LOAD_RECEIVERS_PER_ROUND = 6;
  private static final System.Logger LOG = System.getLogger(MembershipService.class.getName());

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

  /**
   * Joins the cluster: dials the seeds and starts probing. Must be called before the control thread
   * is stopped.
   */
  public void start() {
    SwimFrame.register(link, (from, message) -> control.execute(() -> onMessage(from, message)));
    link.onMessage(LoadFrame.TYPE, LoadFrame::read, this::onLoadFrame);
    link.onConnected(peer -> control.execute(() -> onPeerConnected(peer)));
    link.onInboundConnected(peer -> control.execute(() -> onPeerConnected(peer)));
    link.onDisconnected(
        nodeId ->
            control.execute(
                () -> sendAll(membership.onPeerDisconnected(nodeId, MonotonicClock.nowMs()))));
    control.scheduleAtFixedRate("membership", TICK_MS, JITTER_SHARE, this::onTick);
    control.scheduleAtFixedRate("load", LOAD_PERIOD_MS, JITTER_SHARE, this::sendLoad);
    if (hostList != null) {
      control.scheduleAtFixedRate("hosts", HOSTS_PERIOD_MS, JITTER_SHARE, this::readHosts);
      readHosts();
    }
    seeds.forEach(link::dial);
  }

  /** Returns the current view of the members. May be called from any thread. */
  public MembershipView view() {
    return view;
  }

  /**
   * Adds a listener for changes of the members. A change of configuration versions alone does not
   * notify it.
   *
   * @param listener called on the control thread
   */
  public void onChange(Consumer<MembershipView> listener) {
    listeners.add(listener);
  }

  /**
   * Adds a listener for the load reports of other nodes.
   *
   * @param listener called on an event loop with the sender's node id and the payload
   */
  public void onLoad(BiConsumer<String, byte[]> listener) {
    loadListeners.add(listener);
  }

  /**
   * Sets the source of this node's load reports.
   *
   * @param supplier called on the control thread each second; if it returns null, nothing is sent
   */
  public void setLoadSource(Supplier<byte[]> supplier) {
    loadSource = supplier;
  }

  /**
   * Announces the epoch of the node's lease. May be called from any thread.
   *
   * @param epoch the epoch; ignored if it is lower than the current one
   */
  public void setEpoch(long epoch) {
    control.execute(
        () -> {
          membership.setEpoch(epoch);
          publish();
        });
  }

  /**
   * Announces the version of the current configuration. May be called from any thread.
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

  /** Announces that this node is leaving. May be called from any thread. */
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
      LOG.log(
          System.Logger.Level.WARNING,
          LogEvent.of("peer-address-invalid").with("member", peer.nodeId()));
      return;
    }
    Member connected =
        new Member(
            peer.nodeId(),
            peer.zone(),
            peer.region(),
            peer.address(),
            peer.epoch(),
            0,
            MemberState.ALIVE,
            0);
    sendAll(membership.onPeerConnected(connected, MonotonicClock.nowMs()));
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
   * Publishes the view if it has changed. Handlers of messages leave this to the next tick, since
   * after a change of the configuration the members' versions change in quick succession.
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

  /** Returns whether two views differ at most in configuration versions. */
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
        LOG.log(
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
    dialled.stream().filter(address -> !wanted.contains(address)).forEach(link::stopDialling);
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

  /**
   * Sends to a bounded number of receivers, starting at a cursor; returns the cursor of the next
   * round.
   */
  private int sendRoundRobin(LoadFrame frame, List<String> receivers, int cursor) {
    int next = cursor;
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
     * @param control the thread that runs the protocol
     * @return this builder
     */
    public Builder control(ControlAgent control) {
      this.control = control;
      return this;
    }

    /**
     * Sets the peer link.
     *
     * @param link the link that sends and receives the messages
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
     * Sets the addresses that are dialled first and never dropped.
     *
     * @param seeds peer addresses
     * @return this builder
     */
    public Builder seeds(Collection<InetSocketAddress> seeds) {
      this.seeds = seeds;
      return this;
    }

    /**
     * Sets the host list, from which further nodes are discovered.
     *
     * @param hostList the host list, or null
     * @return this builder
     */
    public Builder hostList(HostList hostList) {
      this.hostList = hostList;
      return this;
    }

    /**
     * Sets the timings of the protocol.
     *
     * @param timings the timings
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

    /** Builds the service, which does nothing until {@link #start}. */
    public MembershipService build() {
      return new MembershipService(this);
    }
  }
}
