package org.sycamoretrack.core.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * The queue in front of one endpoint, which itself admits requests as they come.
 *
 * <p>The queue has two classes. Interactive work goes before rollout work, with two exceptions that
 * keep both classes moving:
 *
 * <ul>
 *   <li>Rollout work never takes the reserved slots, a share of the limit that stays free for
 *       interactive work: a short call then doesn't wait until a long sample ends.
 *   <li>Rollout work that has aged, that is, whose head has waited for {@code ageingMs}, gets one
 *       start after every {@code interactiveWeight} interactive ones.
 * </ul>
 *
 * <p>Inside a class the queue is fair between flows in tokens (see {@link FairQueue}). An entry
 * whose deadline passes leaves as {@link Polled.Expired}, whether or not a slot is free.
 *
 * <p>Invariants: an entry leaves exactly once, by {@link #poll} or {@link #remove}; the sizes never
 * exceed the capacities; rollout work starts only while less than {@code limit - reserve} of it
 * runs (at least one).
 *
 * <p>Example: limit 8, reserve share 0.25. Rollout work fills 6 slots. An interactive call starts
 * at once in slot 7, a second one in slot 8; a third one waits for any request to end.
 *
 * <p>Not thread-safe. Time is given as milliseconds of one monotonic clock.
 *
 * @param <T> the type of the queued items; items are told apart by {@code equals}
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
   * Queues an item of rank 0.
   *
   * @param item the item, not queued already
   * @param requestClass its class
   * @param flow its track or customer
   * @param costTokens the tokens it is expected to take, at least 1
   * @param deadlineMs when it expires; {@link Long#MAX_VALUE} for never
   * @param nowMs the time now
   * @return false when the queue of the class is full or the item is queued already
   */
  public boolean offer(
      T item, RequestClass requestClass, Flow flow, long costTokens, long deadlineMs, long nowMs) {
    return offer(item, requestClass, flow, costTokens, deadlineMs, nowMs, 0);
  }

  /**
   * Queues an item.
   *
   * @param item the item, not queued already
   * @param requestClass its class
   * @param flow its track or customer
   * @param costTokens the tokens it is expected to take, at least 1
   * @param deadlineMs when it expires; {@link Long#MAX_VALUE} for never
   * @param nowMs the time now
   * @param rank the order inside the flow, lower ranks first: the step that a trainer waits on
   *     before later steps, and moved samples before new ones
   * @return false when the queue of the class is full or the item is queued already
   */
  public boolean offer(
      T item,
      RequestClass requestClass,
      Flow flow,
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
   * Takes the next item that may start or has expired. Call it until it gives {@link
   * Polled.Nothing}: after an offer, an end, a change of the limit, and at {@link
   * #nextDeadlineMs()}.
   *
   * @param nowMs the time now
   * @param inFlight what runs on the endpoint now
   * @param limit how many requests may run on the endpoint
   */
  public Polled<T> poll(long nowMs, InFlight inFlight, int limit) {
    if (!byDeadline.isEmpty() && byDeadline.first().deadlineMs <= nowMs) {
      QueuedRequest<T> entry = byDeadline.first();
      removeEntry(entry);
      return new Polled.Expired<>(entry.item, entry.requestClass, nowMs - entry.queuedAtMs);
    }
    RequestClass next = nextClass(nowMs, inFlight, limit);
    if (next == null) {
      return new Polled.Nothing<>();
    }
    QueuedRequest<T> entry = queue(next).poll();
    entries.remove(entry.item);
    byDeadline.remove(entry);
    return new Polled.Admitted<>(entry.item, next, nowMs - entry.queuedAtMs);
  }

  /**
   * Removes a queued item, for example one that was cancelled.
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

  /** Returns how many items of both classes are queued. */
  public int size() {
    return entries.size();
  }

  /**
   * Returns how many items of a class are queued.
   *
   * @param requestClass the class
   */
  public int size(RequestClass requestClass) {
    return queue(requestClass).size();
  }

  /**
   * Returns how many items of a flow are queued.
   *
   * @param requestClass the class
   * @param flowKey the key of the flow
   */
  public int size(RequestClass requestClass, String flowKey) {
    return queue(requestClass).size(flowKey);
  }

  /** Returns the expected tokens of all queued items. */
  public long queuedTokens() {
    return interactive.queuedTokens() + rollout.queuedTokens();
  }

  /** Returns the earliest deadline of the queued items, {@link Long#MAX_VALUE} without any. */
  public long nextDeadlineMs() {
    return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().deadlineMs;
  }

  /**
   * Returns how many slots of a limit are kept free of rollout work.
   *
   * @param limit the limit
   */
  public int reservedSlots(int limit) {
    return (int) Math.ceil(limit * settings.reserveShare);
  }

  private RequestClass nextClass(long nowMs, InFlight inFlight, int limit) {
    boolean interactiveMay = interactive.size() > 0 && canStartInteractive(inFlight, limit);
    boolean rolloutMay = rollout.size() > 0 && canStartRollout(inFlight, limit);
    if (!rolloutMay) {
      return interactiveMay ? RequestClass.INTERACTIVE : null;
    }
    boolean aged = nowMs - rollout.peek().queuedAtMs >= settings.ageingMs;
    if (interactiveMay && !(aged && interactiveStreak >= settings.interactiveWeight)) {
      interactiveStreak = aged ? interactiveStreak + 1 : 0;
      return RequestClass.INTERACTIVE;
    }
    interactiveStreak = 0;
    return RequestClass.ROLLOUT;
  }

  private boolean canStartInteractive(InFlight inFlight, int limit) {
    return inFlight.total() < limit || inFlight.interactive() < reservedSlots(limit);
  }

  private boolean canStartRollout(InFlight inFlight, int limit) {
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
     * Sets how many interactive requests may be queued.
     *
     * @param requests at least 1
     */
    public Builder interactiveCapacity(int requests) {
      this.interactiveCapacity = requests;
      return this;
    }

    /**
     * Sets how many samples may be queued.
     *
     * @param requests at least 1
     */
    public Builder rolloutCapacity(int requests) {
      this.rolloutCapacity = requests;
      return this;
    }

    /**
     * Sets the share of the limit that is kept free of rollout work.
     *
     * @param share from 0 to 1
     */
    public Builder reserveShare(double share) {
      this.reserveShare = share;
      return this;
    }

    /**
     * Sets how many interactive starts go before one aged rollout start.
     *
     * @param starts at least 1
     */
    public Builder interactiveWeight(int starts) {
      this.interactiveWeight = starts;
      return this;
    }

    /**
     * Sets after what wait rollout work has aged.
     *
     * @param waitMs the wait, at least 0
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
