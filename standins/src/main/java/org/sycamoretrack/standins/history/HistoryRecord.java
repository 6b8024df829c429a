package org.sycamoretrack.standins.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A record of one observation. Times are milliseconds since the epoch; all observers run on one
 * machine and share its clock.
 *
 * <p>A request id identifies one attempt of a call. A retry has a new id, so that each execution
 * belongs to exactly one attempt.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(HistoryRecord.StepOpened.class),
  @JsonSubTypes.Type(HistoryRecord.PollSent.class),
  @JsonSubTypes.Type(HistoryRecord.PollEnded.class),
  @JsonSubTypes.Type(HistoryRecord.SampleReceived.class),
  @JsonSubTypes.Type(HistoryRecord.RequestSent.class),
  @JsonSubTypes.Type(HistoryRecord.RequestAnswered.class),
  @JsonSubTypes.Type(HistoryRecord.RequestRefused.class),
  @JsonSubTypes.Type(HistoryRecord.RequestBroken.class),
  @JsonSubTypes.Type(HistoryRecord.EngineProduced.class),
  @JsonSubTypes.Type(HistoryRecord.WorkReceived.class),
  @JsonSubTypes.Type(HistoryRecord.CallExecuted.class),
  @JsonSubTypes.Type(HistoryRecord.EndpointLeaving.class),
  @JsonSubTypes.Type(HistoryRecord.EndpointReturned.class),
  @JsonSubTypes.Type(HistoryRecord.StopBegan.class),
  @JsonSubTypes.Type(HistoryRecord.StopEnded.class),
  @JsonSubTypes.Type(HistoryRecord.CutBegan.class),
  @JsonSubTypes.Type(HistoryRecord.CutEnded.class),
  @JsonSubTypes.Type(HistoryRecord.ConfigAccepted.class),
  @JsonSubTypes.Type(HistoryRecord.ConfigObserved.class)
})
public sealed interface HistoryRecord {
  /** Returns the time of the observation, in milliseconds since the epoch. */
  long atMs();

  /** How a poll ended. */
  enum PollEnd {
    /** The trainer received its response. */
    ANSWERED,
    /** The trainer closed the connection. */
    ABANDONED,
    /** It received an error response. */
    REFUSED,
    /** It failed before any byte of it can have reached the node. */
    NOT_SENT,
    /** Its connection failed after parts of it may have reached the node. */
    BROKEN
  }

  /**
   * A trainer opened a step.
   *
   * @param atMs time of the observation
   * @param track the track
   * @param step the step
   * @param slots number of samples requested
   * @param maxVersionLag how many versions older than the trainer's a span may be
   */
  record StepOpened(long atMs, String track, long step, int slots, long maxVersionLag)
      implements HistoryRecord {}

  /**
   * A trainer sent a poll.
   *
   * @param atMs time of the observation
   * @param pollId id of the poll
   * @param track the track
   * @param step the step
   * @param node the node that the request was sent to
   * @param trainsVersion the weight version that the trainer trains
   */
  record PollSent(
      long atMs, String pollId, String track, long step, String node, long trainsVersion)
      implements HistoryRecord {}

  /**
   * A poll ended.
   *
   * @param atMs time of the observation
   * @param pollId id of the poll
   * @param end how it ended
   */
  record PollEnded(long atMs, String pollId, PollEnd end) implements HistoryRecord {}

  /**
   * A trainer received a sample in the response to a poll.
   *
   * @param atMs time of the observation
   * @param pollId id of the poll
   * @param slot the slot in the poll's step
   * @param prompt the prompt of the slot's group
   * @param text the text
   * @param tokens number of tokens that the response reports
   * @param spans the weight versions that the response reports
   */
  record SampleReceived(
      long atMs, String pollId, int slot, String prompt, String text, int tokens, List<Span> spans)
      implements HistoryRecord {
    /** Makes a defensive copy of the spans. */
    public SampleReceived {
      spans = List.copyOf(spans);
    }
  }

  /**
   * A caller sent a request.
   *
   * @param atMs time of the observation
   * @param requestId id of the attempt
   * @param node the node that the request was sent to
   * @param repeatable whether it may be executed more than once
   * @param key the idempotency key, or null
   * @param prompt the prompt of a completion, or null for a call of a plain service
   * @param expected the complete text of the expected response, or null if unknown
   */
  record RequestSent(
      long atMs,
      String requestId,
      String node,
      boolean repeatable,
      String key,
      String prompt,
      String expected)
      implements HistoryRecord {}

  /**
   * A caller received a response without an error.
   *
   * @param atMs time of the observation
   * @param requestId id of the attempt
   * @param answer the text of the response
   * @param tokens number of tokens that the response reports; 0 for calls other than completions,
   *     -1 for a completion that ended without its end marker
   */
  record RequestAnswered(long atMs, String requestId, String answer, int tokens)
      implements HistoryRecord {}

  /**
   * A caller received an error response.
   *
   * @param atMs time of the observation
   * @param requestId id of the attempt
   * @param code the error code
   * @param outcome {@code not-run}, {@code ran} or {@code unknown}
   */
  record RequestRefused(long atMs, String requestId, String code, String outcome)
      implements HistoryRecord {}

  /**
   * A request received no complete response: its connection failed or it timed out.
   *
   * @param atMs time of the observation
   * @param requestId id of the attempt
   * @param maybeSent false if no byte can have reached the node
   */
  record RequestBroken(long atMs, String requestId, boolean maybeSent) implements HistoryRecord {}

  /**
   * An engine produced a range of tokens.
   *
   * @param atMs time of the observation
   * @param endpoint the engine
   * @param requestId id of the request
   * @param prompt the prompt
   * @param fromToken index of the first token
   * @param version the weight version that produced the range
   * @param text the text of the tokens, each of which begins with a space
   */
  record EngineProduced(
      long atMs,
      String endpoint,
      String requestId,
      String prompt,
      int fromToken,
      long version,
      String text)
      implements HistoryRecord {}

  /**
   * An endpoint accepted a request.
   *
   * @param atMs time of the observation
   * @param endpoint the endpoint
   * @param requestId id of the request
   */
  record WorkReceived(long atMs, String endpoint, String requestId) implements HistoryRecord {}

  /**
   * A plain service executed a call.
   *
   * @param atMs time of the observation
   * @param endpoint the endpoint
   * @param requestId id of the request
   * @param key its idempotency key, or null
   */
  record CallExecuted(long atMs, String endpoint, String requestId, String key)
      implements HistoryRecord {}

  /**
   * An endpoint started leaving.
   *
   * @param atMs time of the observation
   * @param endpoint the endpoint
   */
  record EndpointLeaving(long atMs, String endpoint) implements HistoryRecord {}

  /**
   * An endpoint that was leaving accepts work again.
   *
   * @param atMs time of the observation
   * @param endpoint the endpoint
   */
  record EndpointReturned(long atMs, String endpoint) implements HistoryRecord {}

  /**
   * A node was asked to stop.
   *
   * @param atMs time of the observation
   * @param node the node
   */
  record StopBegan(long atMs, String node) implements HistoryRecord {}

  /**
   * The process of a node that was asked to stop has exited.
   *
   * @param atMs time of the observation
   * @param node the node
   * @param exitCode exit code of the process
   */
  record StopEnded(long atMs, String node, int exitCode) implements HistoryRecord {}

  /**
   * A node was isolated from all other nodes and the platform, or its process was suspended.
   *
   * @param atMs time of the observation
   * @param node the node
   */
  record CutBegan(long atMs, String node) implements HistoryRecord {}

  /**
   * An isolated or suspended node is reachable again.
   *
   * @param atMs time of the observation
   * @param node the node
   */
  record CutEnded(long atMs, String node) implements HistoryRecord {}

  /**
   * A configuration change was accepted.
   *
   * @param atMs time of the observation
   * @param version the configuration version that contains the change
   */
  record ConfigAccepted(long atMs, long version) implements HistoryRecord {}

  /**
   * A node reported the configuration that it applies.
   *
   * @param atMs time of the observation
   * @param node the node
   * @param version the version that it applies
   * @param digest digest of the content of the configuration
   */
  record ConfigObserved(long atMs, String node, long version, String digest)
      implements HistoryRecord {}
}
