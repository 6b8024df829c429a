package org.sycamoretrack.daemon.version;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MembershipView;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.RendezvousHash;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ValidationError;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.process.ControlAgent;
import org.sycamoretrack.daemon.process.ControlInbox;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Maintains the configuration in force on this node and executes the changes that operators
 * request.
 *
 * <p>A change is accepted when its transaction on the table has committed, which {@link
 * ChangeExecution} ensures. A node that puts a new version in force announces it to a few peers,
 * which pull it and announce it in turn. Membership probes also carry the version, so that a node
 * that missed the announcement or was partitioned pulls from any peer that is ahead. One node of
 * each zone polls the head row, in case the node that made a change crashed before it announced it;
 * a node that has no configuration yet reads the head row at once.
 *
 * <p>Invariant: the version in force on a node never decreases, and only accepted versions are
 * propagated. So a node that returns with an old configuration cannot revert another node.
 *
 * <p>Example: a change on node a creates version 8. Node a announces 8 to b and c. Node b has 7,
 * pulls, and is sent the one changed resource. Node c, which has just started, has 0 and is sent
 * all resources.
 */
public final class ConfigurationService {
  private static final System.Logger LOG = System.getLogger(ConfigurationService.class.getName());
  private static final int MAX_QUEUED_CHANGES = 64;
  private static final long CHANGE_TIMEOUT_MS = 10_000;
  private static final long CHECK_PERIOD_MS = 500;
  private static final long POLL_PERIOD_MS = 5_000;
  private static final long PULL_TIMEOUT_MS = 1_000;
  private static final double JITTER_SHARE = 0.2;
  private static final int ZONE_FANOUT = 3;
  private static final int REMOTE_FANOUT = 2;
  private static final String POLL_KEY = "configuration-poll";

  private final ControlAgent control;
  private final ControlInbox inbox;
  private final PeerLink link;
  private final Supplier<MembershipView> members;
  private final ConfigurationStore store;
  private final Random random;
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final ConfigurationHistory history = new ConfigurationHistory();
  private final Deque<ChangeExecution> queuedChanges = new ArrayDeque<>();
  private volatile Configuration current = Configuration.EMPTY;
  private volatile boolean loaded;
  private ChangeExecution runningChange;
  private long pullDeadlineMs;
  private boolean polling;

  /**
   * Creates a service, which does nothing until {@link #start}.
   *
   * @param control the agent that runs the control thread
   * @param link carries announcements and updates
   * @param members returns this node's current view of the members
   * @param table the table service that stores the accepted configuration
   * @param random the source of random choices, used on the control thread only
   */
  public ConfigurationService(
      ControlAgent control,
      PeerLink link,
      Supplier<MembershipView> members,
      TableStore table,
      Random random) {
    this.control = Objects.requireNonNull(control, "control");
    this.inbox = new ControlInbox(control::execute);
    this.link = Objects.requireNonNull(link, "link");
    this.members = Objects.requireNonNull(members, "members");
    this.store = new ConfigurationStore(table);
    this.random = Objects.requireNonNull(random, "random");
  }

  /** Starts to synchronize the configuration and to respond to peers. */
  public void start() {
    link.onMessage(
        ConfigMessage.Announce.TYPE,
        ConfigMessage.Announce::read,
        (from, announce) -> control.execute(() -> onAnnounce(from, announce.version())));
    link.onMessage(
        ConfigMessage.Pull.TYPE,
        ConfigMessage.Pull::read,
        (from, pull) -> control.execute(() -> onPull(from, pull.version())));
    link.onMessage(
        ConfigMessage.Update.TYPE,
        ConfigMessage.Update::read,
        (from, update) -> control.execute(() -> onUpdate(from, update)));
    control.scheduleAtFixedRate("config-check", CHECK_PERIOD_MS, JITTER_SHARE, this::check);
    control.scheduleAtFixedRate("config-poll", POLL_PERIOD_MS, JITTER_SHARE, this::pollIfChosen);
  }

  /** Returns the configuration in force. May be called from any thread. */
  public Configuration current() {
    return current;
  }

  /**
   * Returns whether this node has received an accepted configuration from the table or a peer since
   * it started.
   */
  public boolean isLoaded() {
    return loaded;
  }

  /**
   * Adds a listener that is called with each new configuration.
   *
   * @param listener called on the control thread
   */
  public void onChange(Consumer<Configuration> listener) {
    listeners.add(listener);
  }

  /**
   * Executes a change. May be called from any thread.
   *
   * @param change the change
   * @return the resulting configuration, which is in force on this node; fails with {@link
   *     VersionConflictException} when the precondition does not hold, and with {@link
   *     SycamoreException} when the change is invalid, was not executed, or may have been executed
   *     (outcome {@code UNKNOWN})
   */
  public CompletionStage<Configuration> change(Change change) {
    ChangeExecution execution =
        new ChangeExecution(
            new ExecutionContext(),
            store,
            change,
            UUID.randomUUID().toString(),
            MonotonicClock.nowMs() + CHANGE_TIMEOUT_MS);
    if (!control.execute(() -> enqueue(execution))) {
      return CompletableFuture.failedStage(overloaded());
    }
    return execution.result();
  }

  /**
   * Validates resources as if all of them were accepted together, without changing the
   * configuration.
   *
   * @param resources a JSON array of resources
   * @return the resources, in the same order
   * @throws SycamoreException with all validation errors, each with a JSON pointer into the array
   */
  public List<Resource> validate(JsonNode resources) {
    List<ValidationError> errors = new ArrayList<>();
    List<Resource> parsed = new ArrayList<>();
    IdentityHashMap<Resource, String> pointers = new IdentityHashMap<>();
    int index = 0;
    for (JsonNode json : resources) {
      String pointer = "/" + index++;
      List<ValidationError> found = ResourceCodec.check(json);
      if (found.isEmpty()) {
        Resource resource = ResourceCodec.parse(json);
        parsed.add(resource);
        pointers.put(resource, pointer);
      }
      found.forEach(error -> errors.add(error.withParent(pointer)));
    }
    Configuration combined = current.apply(current.version(), parsed, List.of());
    for (Resource resource : parsed) {
      combined
          .checkReferences(resource)
          .forEach(error -> errors.add(error.withParent(pointers.get(resource))));
    }
    if (!errors.isEmpty()) {
      throw ValidationErrors.toException(errors);
    }
    return parsed;
  }

  private static SycamoreException overloaded() {
    return new SycamoreException(
        ErrorCode.OVERLOADED, ExecutionOutcome.NOT_RUN, "the queue of changes is full");
  }

  private void enqueue(ChangeExecution execution) {
    if (queuedChanges.size() >= MAX_QUEUED_CHANGES) {
      execution.result().completeExceptionally(overloaded());
      return;
    }
    queuedChanges.addLast(execution);
    runNext();
  }

  private void runNext() {
    if (runningChange != null || queuedChanges.isEmpty()) {
      return;
    }
    runningChange = queuedChanges.pollFirst();
    inbox.onResult(
        runningChange.result(),
        (configuration, failure) -> {
          runningChange = null;
          runNext();
        });
    runningChange.attempt();
  }

  /** Puts a configuration in force if it is newer. */
  private void apply(Configuration next) {
    loaded = true;
    if (next.version() <= current.version()) {
      return;
    }
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("configuration-applied")
            .with("version", next.version())
            .with("before", current.version()));
    history.add(current);
    current = next;
    listeners.forEach(listener -> listener.accept(next));
    announce();
  }

  private void announce() {
    MembershipView view = members.get();
    String zone = view.self().zone();
    List<String> sameZone = new ArrayList<>();
    List<String> otherZones = new ArrayList<>();
    for (Member member : view.alive()) {
      if (!member.nodeId().equals(view.self().nodeId())) {
        (member.zone().equals(zone) ? sameZone : otherZones).add(member.nodeId());
      }
    }
    sendAnnouncements(sameZone, ZONE_FANOUT);
    sendAnnouncements(otherZones, REMOTE_FANOUT);
  }

  private void sendAnnouncements(List<String> receivers, int max) {
    Collections.shuffle(receivers, random);
    ConfigMessage.Announce announce = new ConfigMessage.Announce(current.version());
    receivers.stream().limit(max).forEach(receiver -> link.send(receiver, announce));
  }

  private void onAnnounce(String from, long version) {
    if (version > current.version()) {
      pull(from);
    }
  }

  private void pull(String from) {
    if (MonotonicClock.nowMs() >= pullDeadlineMs
        && link.send(from, new ConfigMessage.Pull(current.version()))) {
      pullDeadlineMs = MonotonicClock.nowMs() + PULL_TIMEOUT_MS;
    }
  }

  private void onPull(String from, long version) {
    if (loaded && current.version() >= version) {
      link.send(from, history.updateFrom(version, current));
    }
  }

  private void onUpdate(String from, ConfigMessage.Update update) {
    pullDeadlineMs = 0;
    if (update.base() == ConfigMessage.Update.FULL) {
      apply(new Configuration(update.version(), update.changed()));
    } else if (update.base() == current.version()) {
      apply(current.apply(update.version(), update.changed(), update.removed()));
    } else if (update.version() > current.version()) {
      pull(from);
    }
  }

  /**
   * Pulls from a member that is ahead. Without a configuration, pulls from any peer and reads the
   * table.
   */
  private void check() {
    inbox.drain();
    MembershipView view = members.get();
    Optional<Member> ahead =
        view.members().stream()
            .filter(member -> member.configVersion() > current.version())
            .filter(member -> link.isWritable(member.nodeId()))
            .findFirst();
    if (ahead.isPresent()) {
      pull(ahead.get().nodeId());
    } else if (!loaded) {
      List<String> peers = new ArrayList<>(link.connectedPeers());
      if (!peers.isEmpty()) {
        pull(peers.get(random.nextInt(peers.size())));
      }
      poll();
    }
  }

  private void pollIfChosen() {
    MembershipView view = members.get();
    Optional<String> poller = RendezvousHash.owner(POLL_KEY, view.aliveIds(view.self().zone()));
    if (poller.isEmpty() || poller.get().equals(view.self().nodeId())) {
      poll();
    }
  }

  private void poll() {
    if (polling) {
      return;
    }
    polling = true;
    CompletionStage<Configuration> read =
        store.readHead().thenCompose(head -> store.load(current, head));
    inbox.onResult(
        read,
        (configuration, failure) -> {
          polling = false;
          if (failure == null) {
            apply(configuration);
          }
        });
  }

  /** Gives the running change access to the service. */
  private final class ExecutionContext implements ChangeExecution.Context {
    @Override
    public Configuration current() {
      return current;
    }

    @Override
    public void apply(Configuration next) {
      ConfigurationService.this.apply(next);
    }

    @Override
    public <T> void onResult(CompletionStage<T> stage, BiConsumer<T, Throwable> action) {
      inbox.onResult(stage, action);
    }

    @Override
    public void schedule(long delayMs, Runnable action) {
      control.schedule("config-change", delayMs, action);
    }

    @Override
    public long nowMs() {
      return MonotonicClock.nowMs();
    }
  }
}
