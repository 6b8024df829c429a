package org.sycamoretrack.daemon.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.commons.codec.digest.MurmurHash3;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.RendezvousHash;
import org.sycamoretrack.core.request.ClaimLimits;
import org.sycamoretrack.core.request.RecordedResponse;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.process.ControlInbox;

/**
 * Makes calls with an idempotency key (keyed calls) run at most once.
 *
 * <p>Keys are mapped to {@link #RANGE_COUNT} ranges by their hash. Rendezvous hashing assigns the
 * ranges to the live nodes; the actual owner of a range is recorded in the table service, see
 * {@link ClaimRange}. A node forwards a keyed call to the node that {@link #ownerOf} returns, which
 * claims the key, runs the call and records its response.
 *
 * <p>The caller of this class must make keys unique: a key that two services may use must contain
 * the service's name.
 *
 * <p>{@link #poll} must be called on the control thread several times a second. Methods may be
 * called from any thread unless they say otherwise. The stages that they return complete on the
 * control thread, so dependent actions must be short.
 *
 * <p>Example of a call on the owner:
 *
 * <pre>{@code
 * claims.claim("counter-app/k-17", fingerprint).thenAccept(decision -> {
 *   switch (decision) {
 *     case ClaimDecision.Run run ->
 *         forward(call).thenAccept(response -> claims.recordResponse(key, response));
 *     ...
 *   }
 * });
 * }</pre>
 */
public final class ClaimService {
  /**
   * The number of key ranges. Must be the same on all nodes and never change, since stored rows
   * depend on it.
   */
  public static final int RANGE_COUNT = 64;

  private final ControlInbox inbox;
  private final ClaimContext context;
  private final BooleanSupplier leaseHeld;
  private final Supplier<? extends Collection<String>> aliveNodeIds;
  private final List<ClaimRange> ranges = new ArrayList<>();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private volatile List<Optional<String>> assignedOwners = List.of();
  private Collection<String> lastAliveNodeIds;
  // Whether the membership lists this node as alive; claims at a node that has left are refused.
  private boolean member = true;
  private boolean stopping;

  private ClaimService(Builder builder) {
    this.inbox = new ControlInbox(builder.control);
    this.context = new ClaimContext(builder, inbox, builder.table);
    this.leaseHeld = builder.leaseHeld;
    this.aliveNodeIds = builder.aliveNodeIds;
    for (int i = 0; i < RANGE_COUNT; i++) {
      ranges.add(new ClaimRange(rangeName(i), context));
    }
  }

  public static Builder builder() {
    return new Builder();
  }

  private static String rangeName(int index) {
    return "r-%02d".formatted(index);
  }

  private static int rangeOf(String key) {
    long hash = MurmurHash3.hash128x64(key.getBytes(StandardCharsets.UTF_8))[0];
    return (int) Long.remainderUnsigned(hash, RANGE_COUNT);
  }

  /**
   * Returns the node that is assigned a key's range; the call must be claimed and run there.
   *
   * @param key the idempotency key
   * @return the node's id, empty before the first {@link #poll}
   */
  public Optional<String> ownerOf(String key) {
    List<Optional<String>> owners = assignedOwners;
    return owners.isEmpty() ? Optional.empty() : owners.get(rangeOf(key));
  }

  /**
   * Claims a key on this node, which should be the key's owner.
   *
   * @param key the idempotency key, unique among all services
   * @param fingerprint identifies the request among others with the same key, for example a digest
   * @return the decision; never fails
   */
  public CompletionStage<ClaimDecision> claim(String key, String fingerprint) {
    CompletableFuture<ClaimDecision> caller = new CompletableFuture<>();
    if (!inbox.execute(() -> claim(key, fingerprint, caller))) {
      ClaimWaiters.refuse(caller, ErrorCode.OVERLOADED);
    }
    return caller;
  }

  private void claim(String key, String fingerprint, CompletableFuture<ClaimDecision> caller) {
    ClaimRange range = ranges.get(rangeOf(key));
    if (member || range.isOwned()) {
      range.claim(key, fingerprint, caller);
    } else {
      ClaimWaiters.refuse(caller, ErrorCode.LEASE_LOST);
    }
  }

  /**
   * Records the response of a call that was run after {@link ClaimDecision.Run}.
   *
   * @param key the idempotency key
   * @param response the response
   * @return completes when the response is stored in the table service; fails when this node loses
   *     the range first
   */
  public CompletionStage<Void> recordResponse(String key, RecordedResponse response) {
    CompletableFuture<Void> recorded = new CompletableFuture<>();
    inbox.submit(() -> ranges.get(rangeOf(key)).recordResponse(key, response, recorded));
    return recorded;
  }

  /**
   * Releases the key of a call that was granted by {@link ClaimDecision.Run} and is known not to
   * have run.
   *
   * @param key the idempotency key
   * @return completes when the release is stored in the table service; fails when this node loses
   *     the range first
   */
  public CompletionStage<Void> release(String key) {
    CompletableFuture<Void> recorded = new CompletableFuture<>();
    inbox.submit(() -> ranges.get(rangeOf(key)).release(key, recorded));
    return recorded;
  }

  /**
   * Marks a call that was granted by {@link ClaimDecision.Run} as one whose outcome will never be
   * known. Its key stays claimed and unsettled.
   *
   * @param key the idempotency key
   */
  public void markUnsettled(String key) {
    inbox.submit(() -> ranges.get(rangeOf(key)).markUnsettled(key));
  }

  /** Does the work that is due. Must be called on the control thread several times a second. */
  public void poll() {
    inbox.drain();
    Collection<String> alive = aliveNodeIds.get();
    if (alive != lastAliveNodeIds) {
      lastAliveNodeIds = alive;
      assignedOwners = assignedOwners(alive);
      member = alive.contains(context.nodeId());
      if (!member) {
        ranges.forEach(range -> range.refuseWaitingClaims(ErrorCode.LEASE_LOST));
      }
    }
    boolean held = leaseHeld.getAsBoolean();
    for (int i = 0; i < RANGE_COUNT; i++) {
      boolean assigned =
          !stopping && assignedOwners.get(i).filter(context.nodeId()::equals).isPresent();
      ranges.get(i).poll(assigned, held);
    }
    if (stopping && ranges.stream().allMatch(ClaimRange::isUnowned)) {
      stopped.complete(null);
    }
  }

  private static List<Optional<String>> assignedOwners(Collection<String> alive) {
    List<Optional<String>> owners = new ArrayList<>();
    for (int i = 0; i < RANGE_COUNT; i++) {
      owners.add(RendezvousHash.owner("claims/" + rangeName(i), alive));
    }
    return List.copyOf(owners);
  }

  /**
   * Refuses new claims, waits for running calls and releases all ranges. Must be called on the
   * control thread; {@link #poll} must still be called until the stage completes.
   *
   * @return completes when this node owns no range
   */
  public CompletionStage<Void> stop() {
    stopping = true;
    return stopped;
  }

  /** Returns the number of ranges that this node owns. Called on the control thread. */
  public int ownedCount() {
    return (int) ranges.stream().filter(ClaimRange::isOwned).count();
  }

  /** Returns the number of keys in the ledgers of this node. Called on the control thread. */
  public int keyCount() {
    return ranges.stream().mapToInt(ClaimRange::keyCount).sum();
  }

  /** Builds a {@link ClaimService}. */
  public static final class Builder {
    String nodeId;
    String writer;
    TableStore table;
    BooleanSupplier leaseHeld = () -> true;
    Supplier<? extends Collection<String>> aliveNodeIds;
    ControlInbox.ControlExecutor control;
    LongSupplier clockMs;
    LongSupplier epochClockMs = System::currentTimeMillis;
    ClaimTimes times = ClaimTimes.DEFAULT;
    ClaimLimits limits = ClaimLimits.DEFAULT;

    private Builder() {}

    /**
     * Sets the identity under which this node claims.
     *
     * @param nodeId this node
     * @param writer the id of this process, unique among all processes past and future: the
     *     incarnation that holds the node's lease
     * @return this builder
     */
    public Builder node(String nodeId, String writer) {
      this.nodeId = nodeId;
      this.writer = writer;
      return this;
    }

    /**
     * Sets the table service.
     *
     * @param table the table service
     * @return this builder
     */
    public Builder table(TableStore table) {
      this.table = table;
      return this;
    }

    /**
     * Sets the check whether this node holds its lease; without the lease it acquires no range.
     *
     * @param leaseHeld evaluated on the control thread
     * @return this builder
     */
    public Builder leaseHeld(BooleanSupplier leaseHeld) {
      this.leaseHeld = leaseHeld;
      return this;
    }

    /**
     * Sets the supplier of the live nodes, this one included. A supplied collection must not
     * change; after a membership change the supplier must return a different collection.
     *
     * @param aliveNodeIds called on the control thread
     * @return this builder
     */
    public Builder aliveNodeIds(Supplier<? extends Collection<String>> aliveNodeIds) {
      this.aliveNodeIds = aliveNodeIds;
      return this;
    }

    /**
     * Sets the control thread.
     *
     * @param control runs commands on the control thread
     * @return this builder
     */
    public Builder control(ControlInbox.ControlExecutor control) {
      this.control = control;
      return this;
    }

    /**
     * Sets the clocks.
     *
     * @param clockMs the monotonic time in milliseconds
     * @param epochClockMs the time in milliseconds since the epoch
     * @return this builder
     */
    public Builder clocks(LongSupplier clockMs, LongSupplier epochClockMs) {
      this.clockMs = clockMs;
      this.epochClockMs = epochClockMs;
      return this;
    }

    /**
     * Sets the durations and limits.
     *
     * @param times the durations
     * @param limits the limits of each range's ledger
     * @return this builder
     */
    public Builder limits(ClaimTimes times, ClaimLimits limits) {
      this.times = times;
      this.limits = limits;
      return this;
    }

    /** Returns a new service, which does nothing until it is polled. */
    public ClaimService build() {
      Objects.requireNonNull(nodeId, "nodeId");
      Objects.requireNonNull(writer, "writer");
      Objects.requireNonNull(table, "table");
      Objects.requireNonNull(aliveNodeIds, "aliveNodeIds");
      Objects.requireNonNull(control, "control");
      Objects.requireNonNull(clockMs, "clockMs");
      return new ClaimService(this);
    }
  }
}
