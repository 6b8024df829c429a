package org.sycamoretrack.standins.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * One observation. Times are milliseconds of the wall clock of the one machine that all observers
 * share.
 *
 * <p>A request id names one sending of a call; a call that is sent again has a new one, so that an
 * execution belongs to exactly one sending.
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
  /** Returns when it was observed, in milliseconds. */
  long atMs();

  /** How a poll ended. */
  enum PollEnd {
    /** Its answer was taken. */
    ANSWERED,
    /** The trainer closed its connection. */
    ABANDONED,
    /** It got an error answer. */
    REFUSED,
    /** No byte of it can have reached the node. */
    NOT_SENT,
    /** Its connection failed after a byte of it may have reached the node. */
    BROKEN
  }

  /**
   * A trainer opened a step.
   *
   * @param atMs when
   * @param track the track
   * @param step the step
   * @param slots number of samples that it wants
   * @param maxVersionLag how many versions older than the trainer's a span may be
   */
  record StepOpened(long atMs, String track, long step, int slots, long maxVersionLag)
      implements HistoryRecord {}

  /**
   * A trainer sent a poll.
   *
   * @param atMs when
   * @param pollId names the poll
   * @param track the track
   * @param step the step
   * @param node the node that was asked
   * @param trainsVersion the version that the trainer trains
   */
  record PollSent(
      long atMs, String pollId, String track, long step, String node, long trainsVersion)
      implements HistoryRecord {}

  /**
   * A poll ended.
   *
   * @param atMs when
   * @param pollId names the poll
   * @param end how
   */
  record PollEnded(long atMs, String pollId, PollEnd end) implements HistoryRecord {}

  /**
   * A trainer took a sample from the answer to a poll.
   *
   * @param atMs when
   * @param pollId the poll
   * @param slot the slot of the poll's step
   * @param prompt the prompt of the slot's group
   * @param text the text
   * @param tokens number of tokens that the answer names
   * @param spans the versions that the answer names
   */
  record SampleReceived(
      long atMs, String pollId, int slot, String prompt, String text, int tokens, List<Span> spans)
      implements HistoryRecord {
    /** Copies the spans. */
    public SampleReceived {
      spans = List.copyOf(spans);
    }
  }

  /**
   * A caller sent a request.
   *
   * @param atMs when
   * @param requestId names the sending
   * @param node the node that was asked
   * @param repeatable whether it may run more than once
   * @param key the idempotency key, or null
   * @param prompt the prompt of a completion, or null for a call of a plain service
   * @param expected the whole answer that belongs to the request, or null when it isn't known
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
   * A caller received a clean answer.
   *
   * @param atMs when
   * @param requestId names the sending
   * @param answer the text received
   * @param tokens tokens that the answer says it has; 0 for other than completions, -1 when a
   *     completion ended without its end marker
   */
  record RequestAnswered(long atMs, String requestId, String answer, int tokens)
      implements HistoryRecord {}

  /**
   * A caller received an error answer.
   *
   * @param atMs when
   * @param requestId names the sending
   * @param code the error's code
   * @param outcome {@code not-run}, {@code ran} or {@code unknown}
   */
  record RequestRefused(long atMs, String requestId, String code, String outcome)
      implements HistoryRecord {}

  /**
   * A request got no whole answer: its connection failed or it timed out.
   *
   * @param atMs when
   * @param requestId names the sending
   * @param maybeSent false when no byte can have reached the node
   */
  record RequestBroken(long atMs, String requestId, boolean maybeSent) implements HistoryRecord {}

  /**
   * An engine produced a range of tokens.
   *
   * @param atMs when
   * @param endpoint the engine
   * @param requestId the stream's id
   * @param prompt the prompt
   * @param fromToken index of the first token
   * @param version the weights that produced the range
   * @param text the tokens, each beginning with a space
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
   * @param atMs when
   * @param endpoint the endpoint
   * @param requestId the request's id
   */
  record WorkReceived(long atMs, String endpoint, String requestId) implements HistoryRecord {}

  /**
   * A plain service executed a call.
   *
   * @param atMs when
   * @param endpoint the endpoint
   * @param requestId the call's id
   * @param key its idempotency key, or null
   */
  record CallExecuted(long atMs, String endpoint, String requestId, String key)
      implements HistoryRecord {}

  /**
   * An endpoint began to leave.
   *
   * @param atMs when
   * @param endpoint the endpoint
   */
  record EndpointLeaving(long atMs, String endpoint) implements HistoryRecord {}

  /**
   * An endpoint takes work again.
   *
   * @param atMs when
   * @param endpoint the endpoint
   */
  record EndpointReturned(long atMs, String endpoint) implements HistoryRecord {}

  /**
   * A node was asked to stop.
   *
   * @param atMs when
   * @param node the node
   */
  record StopBegan(long atMs, String node) implements HistoryRecord {}

  /**
   * A node that was asked to stop has ended.
   *
   * @param atMs when
   * @param node the node
   * @param exitCode of the process
   */
  record StopEnded(long atMs, String node, int exitCode) implements HistoryRecord {}

  /**
   * A node was cut off from all others and from the platform, or frozen.
   *
   * @param atMs when
   * @param node the node
   */
  record CutBegan(long atMs, String node) implements HistoryRecord {}

  /**
   * A node that was cut off is reachable again.
   *
   * @param atMs when
   * @param node the node
   */
  record CutEnded(long atMs, String node) implements HistoryRecord {}

  /**
   * An operator's change was accepted.
   *
   * @param atMs when
   * @param version of the configuration that holds the change
   */
  record ConfigAccepted(long atMs, long version) implements HistoryRecord {}

  /**
   * A node showed the configuration that it applies.
   *
   * @param atMs when
   * @param node the node
   * @param version the version in force
   * @param digest equal for equal contents
   */
  record ConfigObserved(long atMs, String node, long version, String digest)
      implements HistoryRecord {}
}
