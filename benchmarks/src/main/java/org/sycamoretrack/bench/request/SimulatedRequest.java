package org.sycamoretrack.bench.request;

import org.sycamoretrack.core.request.QueueFlow;
import org.sycamoretrack.core.request.RequestClass;

/**
 * A simulated request, its progress and its outcome.
 *
 * <p>The number of output tokens is fixed at creation as a function of the seed, so that a retry
 * with the same seed and weights generates as many.
 */
public final class SimulatedRequest {
  /** How a request ended. */
  public enum State {
    /** The request has not ended. */
    OPEN,
    /** The response is complete. */
    DONE,
    /** The request was rejected because the queue was full. */
    REFUSED,
    /** The deadline passed while the request was queued. */
    EXPIRED,
    /** The endpoint failed and the request was not retried. */
    FAILED
  }

  private final int id;
  private final RequestClass requestClass;
  private final QueueFlow flow;
  private final int promptTokens;
  private final long prefixHash;
  private int outputTokens;
  private final double arrivedAtMs;
  private double deadlineMs = Double.MAX_VALUE;
  private State state = State.OPEN;
  private int generatedTokens;
  private int attempts;
  private int moves;
  private long oldestWeightVersion = Long.MAX_VALUE;
  private double lastTokenAtMs;
  private double sentAtMs;
  private double endedAtMs;

  /**
   * Creates a request.
   *
   * @param id its number; for a sample, its slot
   * @param requestClass its class
   * @param flow its track or customer
   * @param promptTokens the tokens of its prompt
   * @param prefixHash the hash of its prompt, 0 for one that is not shared
   * @param outputTokens the number of output tokens
   * @param arrivedAtMs when it arrives
   */
  public SimulatedRequest(
      int id,
      RequestClass requestClass,
      QueueFlow flow,
      int promptTokens,
      long prefixHash,
      int outputTokens,
      double arrivedAtMs) {
    this.id = id;
    this.requestClass = requestClass;
    this.flow = flow;
    this.promptTokens = promptTokens;
    this.prefixHash = prefixHash;
    this.outputTokens = outputTokens;
    this.arrivedAtMs = arrivedAtMs;
  }

  /** Returns its number. */
  public int id() {
    return id;
  }

  /** Returns its class. */
  public RequestClass requestClass() {
    return requestClass;
  }

  /** Returns its track or customer. */
  public QueueFlow flow() {
    return flow;
  }

  /** Returns the tokens of the prefill: the prompt and the tokens generated so far. */
  public int prefillTokens() {
    return promptTokens + generatedTokens;
  }

  /** Returns the hash of its prompt, 0 for one that is not shared. */
  public long prefixHash() {
    return prefixHash;
  }

  /** Returns the number of output tokens. */
  public int outputTokens() {
    return outputTokens;
  }

  /** Returns when it arrived. */
  public double arrivedAtMs() {
    return arrivedAtMs;
  }

  /** Returns when it expires. */
  public double deadlineMs() {
    return deadlineMs;
  }

  /**
   * Sets when it expires.
   *
   * @param timeMs the deadline
   */
  public void deadlineMs(double timeMs) {
    this.deadlineMs = timeMs;
  }

  /** Returns how it ended. */
  public State state() {
    return state;
  }

  /** Returns the number of tokens generated so far. */
  public int generatedTokens() {
    return generatedTokens;
  }

  /** Returns how often it was sent to an engine. */
  public int attempts() {
    return attempts;
  }

  /** Returns the oldest weight version of the engines that it was sent to. */
  public long oldestWeightVersion() {
    return oldestWeightVersion;
  }

  /** Returns how often it was moved to another engine. */
  public int moves() {
    return moves;
  }

  /** Returns when its last token was generated; before the first token, when it was sent. */
  public double lastTokenAtMs() {
    return lastTokenAtMs;
  }

  /** Returns when it was sent to an engine last. */
  public double sentAtMs() {
    return sentAtMs;
  }

  /** Returns the time from its arrival to its end. */
  public double durationMs() {
    return endedAtMs - arrivedAtMs;
  }

  /**
   * Records that it is sent to an engine.
   *
   * @param nowMs the current time
   * @param weightVersion the weights that the engine serves
   */
  public void onSent(double nowMs, long weightVersion) {
    attempts++;
    oldestWeightVersion = Math.min(oldestWeightVersion, weightVersion);
    sentAtMs = nowMs;
    lastTokenAtMs = nowMs;
  }

  /** Records that it is cancelled on its engine to continue on another. */
  public void onMoved() {
    moves++;
  }

  /**
   * Sets the number of output tokens, for an engine that continues with different tokens after a
   * move.
   *
   * @param tokens more than were generated so far
   */
  public void outputTokens(int tokens) {
    this.outputTokens = tokens;
  }

  /**
   * Records its next token.
   *
   * @param nowMs the current time
   * @return whether it was the last
   */
  public boolean onToken(double nowMs) {
    generatedTokens++;
    lastTokenAtMs = nowMs;
    return generatedTokens >= outputTokens;
  }

  /**
   * Records its end.
   *
   * @param finalState how it ended
   * @param nowMs the current time
   */
  public void onEnd(State finalState, double nowMs) {
    state = finalState;
    endedAtMs = nowMs;
  }
}
