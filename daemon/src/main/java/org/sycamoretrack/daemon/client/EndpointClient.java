package org.sycamoretrack.daemon.client;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.request.scoring.ScoreOutcome;
import org.sycamoretrack.core.request.scoring.ScoreRequest;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.transport.request.HttpCall;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Sends plain requests, batch items and commands to load weights to endpoints.
 *
 * <p>Every request identifies the intended endpoint, so that another endpoint that has taken over
 * the same address doesn't execute it. Listeners are called on the event loop of the client.
 */
public interface EndpointClient {
  /**
   * A caller's request that is forwarded to an endpoint.
   *
   * @param requestId the request id that the caller chose
   * @param method the HTTP method
   * @param target path and query
   * @param host the host that the caller addressed
   * @param headers its end-to-end headers
   * @param body its body, which must not be changed
   * @param customer the customer who sent it, empty if there is none; not sent to the endpoint
   */
  @SuppressWarnings("ArrayRecordComponent")
  record PlainRequest(
      String requestId,
      String method,
      String target,
      String host,
      Map<String, String> headers,
      byte[] body,
      String customer) {
    /** Copies the headers. */
    public PlainRequest {
      headers = Map.copyOf(headers);
    }

    /** Creates a request without a customer. */
    public PlainRequest(
        String requestId,
        String method,
        String target,
        String host,
        Map<String, String> headers,
        byte[] body) {
      this(requestId, method, target, host, headers, body, "");
    }
  }

  /**
   * The load that an endpoint reports.
   *
   * @param running the number of requests being executed
   * @param waiting the number of queued requests
   */
  record LoadReport(int running, int waiting) {}

  /** The result of one attempt to execute a request at an endpoint. */
  sealed interface AttemptResult {
    /**
     * The endpoint sent a complete response.
     *
     * @param response the response
     * @param load the load of the endpoint, null when not reported
     */
    record Answered(HttpResponse response, LoadReport load) implements AttemptResult {}

    /**
     * The endpoint did not and will not execute the request.
     *
     * @param reason the reason, for logs
     * @param load the load of the endpoint, null when not reported
     */
    record NotRun(String reason, LoadReport load) implements AttemptResult {}

    /**
     * No complete response arrived; the request may have been executed.
     *
     * @param reason the reason, for logs
     * @param connectionClosed whether the connection was closed or reset before the response was
     *     complete, as when the endpoint crashes
     */
    record Lost(String reason, boolean connectionClosed) implements AttemptResult {}
  }

  /** Receives the statements of endpoints about themselves, which come with any response. */
  @FunctionalInterface
  interface LeavingListener {
    /**
     * Called when an endpoint has said that it is leaving, for each response that says so.
     *
     * @param endpoint the endpoint as it was addressed
     */
    void onLeaving(Endpoint endpoint);
  }

  /** Receives the result of a plain request. */
  @FunctionalInterface
  interface AttemptResultListener {
    /** Called exactly once. */
    void onAttemptResult(AttemptResult result);
  }

  /** Receives the outcome of a scoring call. */
  @FunctionalInterface
  interface ScoreListener {
    /**
     * Called exactly once.
     *
     * @param outcome the outcome
     * @param load the load of the endpoint, null when not reported
     */
    void onOutcome(ScoreOutcome outcome, LoadReport load);
  }

  /** How the execution of a batch item ended. */
  enum RunEnd {
    /** The text is complete. */
    COMPLETE,
    /** The endpoint refused the item: it is full, loading weights or not the intended one. */
    NOT_RUN,
    /** The endpoint could not be reached. */
    UNREACHABLE,
    /** The execution was cancelled or the stream ended early. */
    INTERRUPTED,
    /** The endpoint reported an error. */
    FAILED,
    /** The endpoint reported that the item can never be executed. */
    IMPOSSIBLE
  }

  /** Receives the events of a batch item. Nothing is called after {@link #onEnd}. */
  interface ItemListener {
    /**
     * Called when the execution begins.
     *
     * @param version the version of the weights, 0 when not reported
     * @param load the load of the endpoint, null when not reported
     */
    void onStart(int version, LoadReport load);

    /**
     * Called for each event.
     *
     * @param number the sequence number of the event, from 1
     * @param data the data of the event
     * @param version the version of the weights that generated it, 0 when unknown
     */
    void onEvent(int number, String data, int version);

    /**
     * Called once, at the end.
     *
     * @param end how the execution ended
     * @param reason the reason, for logs
     */
    void onEnd(RunEnd end, String reason);
  }

  /**
   * A command to load a version of the weights.
   *
   * @param model the model
   * @param version the version
   * @param keepRuns whether running requests continue under the new version; false to let them
   *     finish before the load
   * @param holder the node that holds the lease and sends the command
   * @param epoch the epoch of the holder's lease
   * @param expectedSequence the number of load commands that the endpoint is expected to have
   *     accepted
   */
  record LoadCommand(
      String model,
      int version,
      boolean keepRuns,
      String holder,
      long epoch,
      long expectedSequence) {}

  /** An endpoint's response to a load command. */
  enum LoadCommandResponse {
    /** The endpoint loads the version. */
    ACCEPTED,
    /** The endpoint serves the version already. */
    ALREADY_HOLDS,
    /** Another load is in progress, or the number of accepted commands is not the expected one. */
    CONFLICT,
    /** The endpoint has seen a later epoch. */
    FENCED,
    /** The endpoint doesn't know the version or refused for another reason. */
    REFUSED,
    /** Another endpoint has the address. */
    OTHER_ENDPOINT
  }

  /**
   * The state of the weights that an endpoint reports.
   *
   * @param versions the served version of each model
   * @param loading whether a load is in progress
   * @param sequence the number of load commands that the endpoint has accepted
   */
  record WeightReport(Map<String, Integer> versions, boolean loading, long sequence) {
    /** Copies the versions. */
    public WeightReport {
      versions = Map.copyOf(versions);
    }
  }

  /** Whether an instance of an endpoint still runs. */
  enum Liveness {
    /** The instance responded. */
    ALIVE,
    /** Nothing can be connected to at its address, or another instance responded. */
    GONE,
    /** The address accepts connections, but no response arrived. */
    UNKNOWN
  }

  /**
   * Sends a plain request.
   *
   * @param endpoint the endpoint
   * @param request the request
   * @param remainingMs how long the response remains useful, in milliseconds
   * @param listener receives the result
   * @return the call; cancelling it stops the execution, and the listener is not called any more
   */
  HttpCall send(
      Endpoint endpoint, PlainRequest request, long remainingMs, AttemptResultListener listener);

  /**
   * Sends a scoring call.
   *
   * @param endpoint the endpoint
   * @param request the request
   * @param timeoutMs the time limit of the call in milliseconds
   * @param listener receives the outcome
   * @return the call; cancelling it stops the execution, and the listener is not called any more
   */
  HttpCall score(Endpoint endpoint, ScoreRequest request, long timeoutMs, ScoreListener listener);

  /**
   * Executes a batch item.
   *
   * @param endpoint the endpoint
   * @param host the host of the batch's route
   * @param item the item
   * @param afterEvent the number of the last event received, 0 to start from the beginning
   * @param listener receives the events
   * @return the call; cancelling it ends the execution with {@link RunEnd#INTERRUPTED}
   */
  HttpCall runItem(
      Endpoint endpoint, String host, BatchItem item, int afterEvent, ItemListener listener);

  /**
   * Sends a load command. The stage fails when no response arrives; the command may then still be
   * executed later.
   *
   * @param endpoint the endpoint
   * @param command the command
   */
  CompletionStage<LoadCommandResponse> sendLoadCommand(Endpoint endpoint, LoadCommand command);

  /**
   * Requests the state of the weights. The report is some hundred milliseconds old.
   *
   * @param endpoint the endpoint
   */
  CompletionStage<WeightReport> weightReport(Endpoint endpoint);

  /**
   * Checks whether an instance of an endpoint still runs, on a new connection.
   *
   * @param endpoint the endpoint, with the start time of the instance
   * @return completes with the finding; fails if the response is malformed
   */
  CompletionStage<Liveness> liveness(Endpoint endpoint);
}
