package org.sycamoretrack.daemon.farend;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * What a node asks of endpoints: plain requests, items of batches, and orders to load weights.
 *
 * <p>Every request names the endpoint that it is meant for, so that another one at the same address
 * doesn't run it. Listeners are called on the event loop of the client.
 */
public interface EndpointClient {
  /**
   * A caller's request as it is passed on.
   *
   * @param requestId the caller's id of it
   * @param method the method
   * @param target path and query
   * @param host the host that the caller named
   * @param headers its end-to-end headers
   * @param body its body, which must not be changed
   */
  @SuppressWarnings("ArrayRecordComponent")
  record PlainRequest(
      String requestId,
      String method,
      String target,
      String host,
      Map<String, String> headers,
      byte[] body) {
    /** Copies the headers. */
    public PlainRequest {
      headers = Map.copyOf(headers);
    }
  }

  /**
   * The load that an endpoint reports of itself.
   *
   * @param running the requests that it works on
   * @param waiting the requests in its queue
   */
  record Load(int running, int waiting) {}

  /** How one attempt at an endpoint ended. */
  sealed interface Attempt {
    /**
     * The endpoint answered.
     *
     * @param answer the answer, whole
     * @param load its load, null when not reported
     */
    record Answered(HttpAnswer answer, Load load) implements Attempt {}

    /**
     * The endpoint did not and will not run the request.
     *
     * @param reason for logs
     * @param load its load, null when not reported
     */
    record NotRun(String reason, Load load) implements Attempt {}

    /**
     * No whole answer came; the request may have run.
     *
     * @param reason for logs
     */
    record Lost(String reason) implements Attempt {}
  }

  /** Receives the outcome of a plain request. */
  @FunctionalInterface
  interface AttemptListener {
    /** Called once. */
    void onAttempt(Attempt attempt);
  }

  /** How a run of an item ended. */
  enum RunEnd {
    /** The text is whole. */
    COMPLETE,
    /** The endpoint did not run it, since it is full, loading or not the one that was meant. */
    NOT_RUN,
    /** The endpoint could not be reached. */
    UNREACHABLE,
    /** The run broke off. */
    INTERRUPTED,
    /** The endpoint answered with an error of its own. */
    FAILED,
    /** The endpoint said that the item can never be done. */
    IMPOSSIBLE
  }

  /** Receives the run of an item. Nothing follows {@link #onEnd}. */
  interface ItemListener {
    /**
     * Called when the run begins.
     *
     * @param version the version of the weights, 0 when not said
     * @param load the load of the endpoint, null when not reported
     */
    void onStart(int version, Load load);

    /**
     * Called for each event.
     *
     * @param number its number, from 1
     * @param data its data
     * @param version the version that made it, 0 when not known
     */
    void onEvent(int number, String data, int version);

    /**
     * Called once, at the end.
     *
     * @param end how it ended
     * @param reason for logs
     */
    void onEnd(RunEnd end, String reason);
  }

  /**
   * An order to load a version.
   *
   * @param model the model
   * @param version the version
   * @param keepRuns whether runs go on under the new version; false when they end first
   * @param holder who gives the order
   * @param epoch the epoch of the holder's lease
   * @param expectedSequence the number of orders that the endpoint has accepted
   */
  record LoadOrder(
      String model,
      int version,
      boolean keepRuns,
      String holder,
      long epoch,
      long expectedSequence) {}

  /** How an endpoint answered an order. */
  enum OrderAnswer {
    /** It loads. */
    ACCEPTED,
    /** It serves the version already. */
    ALREADY_HOLDS,
    /** Another order is under way, or it has accepted another number of orders than expected. */
    CONFLICT,
    /** It has seen a later epoch. */
    FENCED,
    /** It doesn't know the version, or refused for another reason. */
    REFUSED,
    /** Another endpoint has the address. */
    OTHER_ENDPOINT
  }

  /**
   * What an endpoint reports of its weights.
   *
   * @param versions the version by model
   * @param loading whether an order is under way
   * @param sequence the number of orders that it has accepted
   */
  record WeightReport(Map<String, Integer> versions, boolean loading, long sequence) {
    /** Copies the versions. */
    public WeightReport {
      versions = Map.copyOf(versions);
    }
  }

  /**
   * Sends a plain request.
   *
   * @param endpoint the endpoint
   * @param request the request
   * @param remainingMs how long the answer is still of use, in milliseconds
   * @param listener receives the outcome
   * @return the call; cancelling it ends the work and reports nothing more
   */
  HttpCall send(
      Endpoint endpoint, PlainRequest request, long remainingMs, AttemptListener listener);

  /**
   * Runs an item.
   *
   * @param endpoint the endpoint
   * @param host the host that the batch's route belongs to
   * @param item the item
   * @param afterEvent the number of the last event that is known, 0 for a run from the beginning
   * @param listener receives the run
   * @return the call; cancelling it ends the run with {@link RunEnd#INTERRUPTED}
   */
  HttpCall run(
      Endpoint endpoint, String host, BatchItem item, int afterEvent, ItemListener listener);

  /**
   * Gives an order. The stage fails when no answer came; the order may then be carried out later.
   *
   * @param endpoint the endpoint
   * @param order the order
   */
  CompletionStage<OrderAnswer> order(Endpoint endpoint, LoadOrder order);

  /**
   * Asks for the state of the weights, which lags by some hundred milliseconds.
   *
   * @param endpoint the endpoint
   */
  CompletionStage<WeightReport> report(Endpoint endpoint);
}
