package org.sycamoretrack.core.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * The queue in front of one endpoint. It decides when requests are sent, since the endpoint itself
 * accepts any request at once.
 *
 * <p>The queue has two priority classes. Interactive requests go before rollout requests, with two
 * exceptions that prevent starvation of either class:
 *
 * <ul>
 *   <li>Rollout requests never use the reserved slots, a share of the concurrency limit that is
 *       kept free for interactive requests. A short call then does not wait for a long sample to
 *       end.
 *   <li>When the rollout request at the head has waited for {@code ageingMs}, one rollout request
 *       starts after every {@code interactiveWeight} interactive ones.
 * </ul>
 *
 * <p>Within a class, tokens are shared fairly between flows (see {@link FairQueue}). An entry whose
 * deadline has passed is returned as {@link AdmissionResult.Expired}, whether or not a slot is
 * free.
 *
 * <p>Invariants: an entry is removed exactly once, by {@link #poll} or {@link #remove}; the queue
 * of a class never exceeds its capacity; a rollout request starts only while fewer than {@code
 * max(1, limit - reserve)} rollout requests are running.
 *
 * <p>Example: limit 8, reserve share 0.25. Rollout requests fill 6 slots. Two interactive requests
 * start at once in the remaining two slots; a third one waits for any request to end.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 *
 * @param <T> the type of the queued items; items are identified by {@code equals}
 */
public final class AdmissionQueue<T> {
  private final FairQueue<T> interactive = new FairQueue<>();
  private final FairQueue<T> rollout = new FairQueue<>();
  private final Map<T, QueuedRequest<T>> entries = new HashMap<>();
  private final TreeSet<QueuedRequest<T>> byDeadline =
      new TreeSet<>(
          Comparator.<QueuedRequest<T>>comparingLong(entry -> entry.deadlineMs)
              .thenComparingLong(entry -> entry.sequence));
  private final Builder settings;
  private long nextSequence;
  private int interactiveStreak;

  private AdmissionQueue(Builder settings) {
    this.settings = settings;
  }

  /** Returns a builder with the default settings. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Queues an item with rank 0.
   *
   * @param item the item, not yet queued
   * @param requestClass the class of the item
   * @param flow the track or customer of the item
   * @param costTokens the expected number of tokens of the item, at least 1
   * @param deadlineMs the time at which the item expires; {@link Long#MAX_VALUE} for never
   * @param nowMs the current time
   * @return false if the queue of the class is full or the item is already queued
   */
  public boolean offer(
      T item,
      RequestClass requestClass,
      QueueFlow flow,
      long costTokens,
      long deadlineMs,
      long nowMs) {
    return offer(item, requestClass, flow, costTokens, deadlineMs, nowMs, 0);
  }

  /**
   * Queues an item.
   *
   * @param item the item, not yet queued
   * @param requestClass the class of the item
   * @param flow the track or customer of the item
   * @param costTokens the expected number of tokens of the item, at least 1
   * @param deadlineMs the time at which the item expires; {@link Long#MAX_VALUE} for never
   * @param nowMs the current time
   * @param rank the priority within the flow, lower ranks first: the step that a trainer waits for
   *     goes before later steps, and moved samples go before new ones
   * @return false if the queue of the class is full or the item is already queued
   */
  public boolean offer(
      T item,
      RequestClass requestClass,
      QueueFlow flow,
      long costTokens,
      long deadlineMs,
      long nowMs,
      int rank) {
    FairQueue<T> queue = queue(requestClass);
    if (queue.size() >= capacity(requestClass) || entries.containsKey(item)) {
      return false;
    }
    QueuedRequest<T> entry =
        new QueuedRequest<>(
            Objects.requireNonNull(item),
            requestClass,
            flow,
            Math.max(1, costTokens),
            deadlineMs,
            nowMs,
            rank,
            nextSequence++);
    entries.put(item, entry);
    byDeadline.add(entry);
    queue.add(entry);
    return true;
  }

  /**
   * Removes the next item that has expired or may start. The caller polls until the result is
   * {@link AdmissionResult.NoneReady}, and does so after an offer, the end of a request, a change
   * of the limit, and at {@link #nextDeadlineMs()}.
   *
   * @param nowMs the current time
   * @param inFlight the requests running on the endpoint
   * @param limit the concurrency limit of the endpoint
   */
  public AdmissionResult<T> poll(long nowMs, InFlightCounts inFlight, int limit) {
    if (!byDeadline.isEmpty() && byDeadline.first().deadlineMs <= nowMs) {
      QueuedRequest<T> entry = byDeadline.first();
      removeEntry(entry);
      return new AdmissionResult.Expired<>(
          entry.item, entry.requestClass, nowMs - entry.queuedAtMs);
    }
    RequestClass next = nextClass(nowMs, inFlight, limit);
    if (next == null) {
      return new AdmissionResult.NoneReady<>();
    }
    QueuedRequest<T> entry = queue(next).poll();
    entries.remove(entry.item);
    byDeadline.remove(entry);
    return new AdmissionResult.Admitted<>(entry.item, next, nowMs - entry.queuedAtMs);
  }

  /**
   * Removes a queued item, for example after a cancellation.
   *
   * @param item the item
   * @return whether it was queued
   */
  public boolean remove(T item) {
    QueuedRequest<T> entry = entries.get(item);
    if (entry == null) {
      return false;
    }
    removeEntry(entry);
    return true;
  }

  /** Returns the number of queued items of both classes. */
  public int size() {
    return entries.size();
  }

  /**
   * Returns the number of queued items of a class.
   *
   * @param requestClass the class
   */
  public int size(RequestClass requestClass) {
    return queue(requestClass).size();
  }

  /**
   * Returns the number of queued items of a flow.
   *
   * @param requestClass the class
   * @param flowKey the key of the flow
   */
  public int size(RequestClass requestClass, String flowKey) {
    return queue(requestClass).size(flowKey);
  }

  /** Returns the sum of the expected tokens of all queued items. */
  public long queuedTokens() {
    return interactive.queuedTokens() + rollout.queuedTokens();
  }

  /**
   * Returns the earliest deadline of the queued items; {@link Long#MAX_VALUE} if none is queued.
   */
  public long nextDeadlineMs() {
    return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().deadlineMs;
  }

  /**
   * Returns the number of slots that are reserved for interactive requests.
   *
   * @param limit the concurrency limit of the endpoint
   */
  public int reservedSlots(int limit) {
    return (int) Math.ceil(limit * settings.reserveShare);
  }

  private RequestClass nextClass(long nowMs, InFlightCounts inFlight, int limit) {
    boolean interactiveReady = interactive.size() > 0 && canStartInteractive(inFlight, limit);
    boolean rolloutReady = rollout.size() > 0 && canStartRollout(inFlight, limit);
    if (!rolloutReady) {
      return interactiveReady ? RequestClass.INTERACTIVE : null;
    }
    boolean aged = nowMs - rollout.peek().queuedAtMs >= settings.ageingMs;
    if (interactiveReady && !(aged && interactiveStreak >= settings.interactiveWeight)) {
      interactiveStreak = aged ? interactiveStreak + 1 : 0;
      return RequestClass.INTERACTIVE;
    }
    interactiveStreak = 0;
    return RequestClass.ROLLOUT;
  }

  private boolean canStartInteractive(InFlightCounts inFlight, int limit) {
    return inFlight.total() < limit || inFlight.interactive() < reservedSlots(limit);
  }

  private boolean canStartRollout(InFlightCounts inFlight, int limit) {
    int rolloutLimit = Math.max(1, limit - reservedSlots(limit));
    return inFlight.total() < limit && inFlight.rollout() < rolloutLimit;
  }

  private void removeEntry(QueuedRequest<T> entry) {
    entries.remove(entry.item);
    byDeadline.remove(entry);
    queue(entry.requestClass).remove(entry);
  }

  private FairQueue<T> queue(RequestClass requestClass) {
    return switch (requestClass) {
      case INTERACTIVE -> interactive;
      case ROLLOUT -> rollout;
    };
  }

  private int capacity(RequestClass requestClass) {
    return switch (requestClass) {
      case INTERACTIVE -> settings.interactiveCapacity;
      case ROLLOUT -> settings.rolloutCapacity;
    };
  }

  /** Builds an {@link AdmissionQueue}. */
  public static final class Builder {
    private int interactiveCapacity = 256;
    private int rolloutCapacity = 8_192;
    private double reserveShare = 0.25;
    private int interactiveWeight = 8;
    private long ageingMs = 10_000;

    private Builder() {}

    /**
     * Sets the largest number of queued interactive requests.
     *
     * @param requests at least 1
     */
    public Builder interactiveCapacity(int requests) {
      this.interactiveCapacity = requests;
      return this;
    }

    /**
     * Sets the largest number of queued rollout requests.
     *
     * @param requests at least 1
     */
    public Builder rolloutCapacity(int requests) {
      this.rolloutCapacity = requests;
      return this;
    }

    /**
     * Sets the share of the concurrency limit that is reserved for interactive requests.
     *
     * @param share from 0 to 1
     */
    public Builder reserveShare(double share) {
      this.reserveShare = share;
      return this;
    }

    /**
     * Sets the number of interactive starts for each start of an aged rollout request.
     *
     * @param starts at least 1
     */
    public Builder interactiveWeight(int starts) {
      this.interactiveWeight = starts;
      return this;
    }

    /**
     * Sets the waiting time after which a rollout request counts as aged.
     *
     * @param waitMs the waiting time in milliseconds, at least 0
     */
    public Builder ageingMs(long waitMs) {
      this.ageingMs = waitMs;
      return this;
    }

    /**
     * Builds an empty queue.
     *
     * @param <T> the type of the queued items
     */
    public <T> AdmissionQueue<T> build() {
      Builder copy = new Builder();
      copy.interactiveCapacity = interactiveCapacity;
      copy.rolloutCapacity = rolloutCapacity;
      copy.reserveShare = reserveShare;
      copy.interactiveWeight = interactiveWeight;
      copy.ageingMs = ageingMs;
      return new AdmissionQueue<>(copy);
    }
  }
}
