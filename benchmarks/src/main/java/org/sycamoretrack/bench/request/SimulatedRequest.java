package org.sycamoretrack.bench.request;

import org.sycamoretrack.core.request.Flow;
import org.sycamoretrack.core.request.RequestClass;

/**
 * One request of a model run: what it asks for and what became of it.
 *
 * <p>The number of tokens that it takes is drawn when it is made, as a function of its seed, so
 * that an attempt made again with the same seed and weights takes as many.
 */
public final class SimulatedRequest {
  /** How a request ended. */
  public enum State {
    /** It has not ended. */
    OPEN,
    /** It got its whole answer. */
    DONE,
    /** Its queue was full. */
    REFUSED,
    /** Its deadline passed in the queue. */
    EXPIRED,
    /** Its endpoint failed and it was not repeated. */
    FAILED
  }

  private final int id;
  private final RequestClass requestClass;
  private final Flow flow;
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
   * @param id its number, for a sample its slot
   * @param requestClass its class
   * @param flow its track or customer
   * @param promptTokens the tokens of its prompt
   * @param prefixHash the hash of its prompt, 0 for one that is not shared
   * @param lengthTokens the tokens that it takes
   * @param arrivedAtMs when it arrives
   */
  public SimulatedRequest(
      int id,
      RequestClass requestClass,
      Flow flow,
      int promptTokens,
      long prefixHash,
      int lengthTokens,
      double arrivedAtMs) {
    this.id = id;
    this.requestClass = requestClass;
    this.flow = flow;
    this.promptTokens = promptTokens;
    this.prefixHash = prefixHash;
    this.outputTokens = lengthTokens;
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
  public Flow flow() {
    return flow;
  }

  /** Returns the tokens that an engine reads when it starts: the prompt and what was made. */
  public int prefillTokens() {
    return promptTokens + generatedTokens;
  }

  /** Returns the hash of its prompt, 0 for one that is not shared. */
  public long prefixHash() {
    return prefixHash;
  }

  /** Returns the tokens that it takes. */
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

  /** Returns the tokens made so far. */
  public int generatedTokens() {
    return generatedTokens;
  }

  /** Returns how often it was sent to an engine. */
  public int attempts() {
    return attempts;
  }

  /** Returns the oldest weights of an engine that it was sent to. */
  public long oldestWeightVersion() {
    return oldestWeightVersion;
  }

  /** Returns how often it was moved to another engine. */
  public int moves() {
    return moves;
  }

  /** Returns when its last token came, or when it was sent. */
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
   * Notes that it is sent to an engine.
   *
   * @param nowMs the time now
   * @param weightVersion the weights that the engine serves
   */
  public void onSent(double nowMs, long weightVersion) {
    attempts++;
    oldestWeightVersion = Math.min(oldestWeightVersion, weightVersion);
    sentAtMs = nowMs;
    lastTokenAtMs = nowMs;
  }

  /** Notes that it is cancelled on its engine to go on elsewhere. */
  public void onMoved() {
    moves++;
  }

  /**
   * Sets the tokens that it takes, for an engine that goes on with other tokens after a move.
   *
   * @param tokens more than were made so far
   */
  public void outputTokens(int tokens) {
    this.outputTokens = tokens;
  }

  /**
   * Notes its next token.
   *
   * @param nowMs the time now
   * @return whether it was the last
   */
  public boolean onToken(double nowMs) {
    generatedTokens++;
    lastTokenAtMs = nowMs;
    return generatedTokens >= outputTokens;
  }

  /**
   * Notes its end.
   *
   * @param finalState how it ended
   * @param nowMs the time now
   */
  public void onEnd(State finalState, double nowMs) {
    state = finalState;
    endedAtMs = nowMs;
  }
}
