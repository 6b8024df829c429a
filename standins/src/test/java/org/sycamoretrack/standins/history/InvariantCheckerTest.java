package org.sycamoretrack.standins.history;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sycamoretrack.standins.history.HistoryRecord.CallExecuted;
import org.sycamoretrack.standins.history.HistoryRecord.ConfigAccepted;
import org.sycamoretrack.standins.history.HistoryRecord.ConfigObserved;
import org.sycamoretrack.standins.history.HistoryRecord.CutBegan;
import org.sycamoretrack.standins.history.HistoryRecord.CutEnded;
import org.sycamoretrack.standins.history.HistoryRecord.EndpointLeaving;
import org.sycamoretrack.standins.history.HistoryRecord.EndpointReturned;
import org.sycamoretrack.standins.history.HistoryRecord.EngineProduced;
import org.sycamoretrack.standins.history.HistoryRecord.PollEnd;
import org.sycamoretrack.standins.history.HistoryRecord.PollEnded;
import org.sycamoretrack.standins.history.HistoryRecord.PollSent;
import org.sycamoretrack.standins.history.HistoryRecord.RequestAnswered;
import org.sycamoretrack.standins.history.HistoryRecord.RequestBroken;
import org.sycamoretrack.standins.history.HistoryRecord.RequestRefused;
import org.sycamoretrack.standins.history.HistoryRecord.RequestSent;
import org.sycamoretrack.standins.history.HistoryRecord.SampleReceived;
import org.sycamoretrack.standins.history.HistoryRecord.StepOpened;
import org.sycamoretrack.standins.history.HistoryRecord.StopBegan;
import org.sycamoretrack.standins.history.HistoryRecord.StopEnded;
import org.sycamoretrack.standins.history.HistoryRecord.WorkReceived;

/** Tests of {@link InvariantChecker}: each check reports violations and accepts valid histories. */
class InvariantCheckerTest {
  private static final List<Span> SPAN = List.of(new Span(7, 0, 2));

  private static SampleReceived sample(String pollId, int slot, String text, List<Span> spans) {
    return new SampleReceived(20, pollId, slot, "p", text, 2, spans);
  }

  private static EngineProduced produced(String requestId, int from, long version, String text) {
    return new EngineProduced(15, "e1", requestId, "p", from, version, text);
  }

  private static RequestSent completion() {
    return new RequestSent(1, "r1", "n1", true, null, "p", null);
  }

  private static RequestSent booking(String requestId, String key) {
    return new RequestSent(1, requestId, "n1", false, key, null, "booked 1");
  }

  private static ConfigObserved configObserved(
      long atMs, String node, long version, String digest) {
    return new ConfigObserved(atMs, node, version, digest);
  }

  /** A step with one slot, polled by a trainer at version 7 with a maximum version lag of 1. */
  private static List<HistoryRecord> step(HistoryRecord... more) {
    List<HistoryRecord> all = new ArrayList<>();
    all.add(new StepOpened(1, "t", 3, 1, 1));
    all.add(new PollSent(2, "poll-1", "t", 3, "n1", 7));
    all.addAll(List.of(more));
    return all;
  }

  static Stream<Arguments> violatingHistories() {
    EngineProduced bothTokens = produced("s", 0, 7, " a b");
    return Stream.of(
        arguments(
            "version that did not produce it",
            Invariant.TRUE_VERSIONS,
            step(produced("s", 0, 6, " a b"), sample("poll-1", 0, " a b", SPAN))),
        arguments(
            "second version not named",
            Invariant.TRUE_VERSIONS,
            step(
                produced("s", 0, 7, " a"),
                produced("s", 1, 8, " b"),
                sample("poll-1", 0, " a b", SPAN))),
        arguments(
            "spans end early",
            Invariant.TRUE_VERSIONS,
            step(bothTokens, sample("poll-1", 0, " a b", List.of(new Span(7, 0, 1))))),
        arguments(
            "spans leave a gap",
            Invariant.TRUE_VERSIONS,
            step(bothTokens, sample("poll-1", 0, " a b", List.of(new Span(7, 1, 2))))),
        arguments(
            "no span",
            Invariant.TRUE_VERSIONS,
            step(bothTokens, sample("poll-1", 0, " a b", List.of()))),
        arguments(
            "older than the version lag allows",
            Invariant.BOUNDED_STALENESS,
            step(
                produced("s", 0, 5, " a b"),
                sample("poll-1", 0, " a b", List.of(new Span(5, 0, 2))))),
        arguments(
            "received twice",
            Invariant.EXACTLY_ONCE,
            step(bothTokens, sample("poll-1", 0, " a b", SPAN), sample("poll-1", 0, " a b", SPAN))),
        arguments("never received", Invariant.EXACTLY_ONCE, step(bothTokens)),
        arguments(
            "slot outside the step",
            Invariant.EXACTLY_ONCE,
            step(bothTokens, sample("poll-1", 0, " a b", SPAN), sample("poll-1", 1, " a b", SPAN))),
        arguments(
            "received from an abandoned poll",
            Invariant.EXACTLY_ONCE,
            step(
                bothTokens,
                new PollEnded(3, "poll-1", PollEnd.ABANDONED),
                sample("poll-1", 0, " a b", SPAN))),
        arguments(
            "truncated sample",
            Invariant.WHOLE_ANSWER,
            step(produced("s", 0, 7, " a"), sample("poll-1", 0, " a", SPAN))),
        arguments(
            "truncated response",
            Invariant.WHOLE_ANSWER,
            List.of(completion(), bothTokens, new RequestAnswered(9, "r1", " a", 2))),
        arguments(
            "text of another prompt",
            Invariant.WHOLE_ANSWER,
            List.of(completion(), bothTokens, new RequestAnswered(9, "r1", " a c", 2))),
        arguments(
            "empty response",
            Invariant.WHOLE_ANSWER,
            List.of(completion(), new RequestAnswered(9, "r1", "", 0))),
        arguments(
            "response to another booking",
            Invariant.WHOLE_ANSWER,
            List.of(booking("r1", "k"), new RequestAnswered(9, "r1", "booked 2", 0))),
        arguments(
            "second response",
            Invariant.WHOLE_ANSWER,
            List.of(
                booking("r1", "k"),
                new RequestAnswered(9, "r1", "booked 1", 0),
                new RequestBroken(10, "r1", true))),
        arguments("no response", Invariant.WHOLE_ANSWER, List.of(booking("r1", "k"))),
        arguments(
            "call rejected as not run but executed",
            Invariant.TRUE_REFUSAL,
            List.of(
                booking("r1", "k"),
                new CallExecuted(5, "e1", "r1", "k"),
                new RequestRefused(9, "r1", "overloaded", "not-run"))),
        arguments(
            "completion rejected as not run but executed",
            Invariant.TRUE_REFUSAL,
            List.of(
                completion(),
                produced("r1", 0, 7, " a b"),
                new RequestRefused(9, "r1", "overloaded", "not-run"))),
        arguments(
            "idempotency key executed twice",
            Invariant.AT_MOST_ONCE,
            List.of(
                booking("r1", "k"),
                booking("r2", "k"),
                new CallExecuted(5, "e1", "r1", "k"),
                new CallExecuted(6, "e2", "r2", "k"),
                new RequestAnswered(9, "r1", "booked 1", 0),
                new RequestAnswered(9, "r2", "booked 1", 0))),
        arguments(
            "call without idempotency key executed twice",
            Invariant.AT_MOST_ONCE,
            List.of(
                booking("r1", null),
                new CallExecuted(5, "e1", "r1", null),
                new CallExecuted(6, "e2", "r1", null),
                new RequestAnswered(9, "r1", "booked 1", 0))),
        arguments(
            "work after the grace period",
            Invariant.NO_WORK_WHEN_LEAVING,
            List.of(new EndpointLeaving(100, "e1"), new WorkReceived(3_101, "e1", "r1"))),
        arguments(
            "request interrupted by a planned stop",
            Invariant.GRACEFUL_STOP,
            List.of(
                booking("r1", "k"),
                new StopBegan(5, "n1"),
                new RequestBroken(9, "r1", true),
                new StopEnded(10, "n1", 0))),
        arguments(
            "request in flight rejected by a planned stop",
            Invariant.GRACEFUL_STOP,
            List.of(
                booking("r1", "k"),
                new StopBegan(5, "n1"),
                new RequestRefused(9, "r1", "stopping", "unknown"),
                new StopEnded(10, "n1", 0))),
        arguments(
            "poll interrupted by a planned stop",
            Invariant.GRACEFUL_STOP,
            step(
                bothTokens,
                new StopBegan(5, "n1"),
                new PollEnded(6, "poll-1", PollEnd.BROKEN),
                new StopEnded(10, "n1", 0),
                new PollSent(11, "poll-2", "t", 3, "n2", 7),
                sample("poll-2", 0, " a b", SPAN))),
        arguments(
            "planned stop with a nonzero exit code",
            Invariant.GRACEFUL_STOP,
            List.of(new StopBegan(5, "n1"), new StopEnded(10, "n1", 137))),
        arguments(
            "planned stop without an exit",
            Invariant.GRACEFUL_STOP,
            List.of(new StopBegan(5, "n1"))),
        arguments(
            "configuration not applied before the deadline",
            Invariant.DURABLE_CONFIGURATION,
            List.of(new ConfigAccepted(100, 4), configObserved(7_101, "n1", 3, "c"))),
        arguments(
            "configuration that reverts",
            Invariant.DURABLE_CONFIGURATION,
            List.of(configObserved(1, "n1", 4, "d"), configObserved(2, "n1", 3, "c"))),
        arguments(
            "different contents for the same version",
            Invariant.DURABLE_CONFIGURATION,
            List.of(configObserved(1, "n1", 4, "d"), configObserved(2, "n2", 4, "x"))),
        arguments(
            "configuration not applied in time after an isolation",
            Invariant.DURABLE_CONFIGURATION,
            List.of(
                new ConfigAccepted(100, 4),
                new CutBegan(50, "n1"),
                new CutEnded(9_000, "n1"),
                configObserved(16_001, "n1", 3, "c"))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("violatingHistories")
  void reportsViolations(String name, Invariant invariant, List<HistoryRecord> records) {
    List<Violation> violations = InvariantChecker.check(historyOf(records));
    assertThat(violations).isNotEmpty().allMatch(violation -> violation.invariant() == invariant);
    assertThat(violations).allMatch(violation -> records.containsAll(violation.evidence()));
  }

  static Stream<Arguments> validHistories() {
    return Stream.of(
        arguments("empty history", List.of()),
        arguments(
            "a sample of two versions within the version lag",
            step(
                produced("s", 0, 6, " a"),
                produced("s", 1, 7, " b"),
                sample("poll-1", 0, " a b", List.of(new Span(6, 0, 1), new Span(7, 1, 2))),
                new PollEnded(21, "poll-1", PollEnd.ANSWERED))),
        arguments(
            "a lost poll, retried",
            step(
                produced("s", 0, 7, " a b"),
                new PollEnded(3, "poll-1", PollEnd.BROKEN),
                new PollSent(4, "poll-2", "t", 3, "n2", 7),
                sample("poll-2", 0, " a b", SPAN))),
        arguments(
            "a completion produced by two engines",
            List.of(
                completion(),
                produced("r1", 0, 7, " a"),
                produced("r1", 1, 8, " b"),
                new RequestAnswered(9, "r1", " a b", 2))),
        arguments(
            "a call with an idempotency key sent twice, executed once",
            List.of(
                booking("r1", "k"),
                booking("r2", "k"),
                new CallExecuted(5, "e1", "r1", "k"),
                new RequestBroken(6, "r1", true),
                new RequestAnswered(9, "r2", "booked 1", 0))),
        arguments(
            "a rejected call, retried",
            List.of(
                booking("r1", "k"),
                new RequestRefused(2, "r1", "overloaded", "not-run"),
                booking("r2", "k"),
                new CallExecuted(5, "e1", "r2", "k"),
                new RequestAnswered(9, "r2", "booked 1", 0))),
        arguments(
            "work within the grace period and after the return",
            List.of(
                new EndpointLeaving(100, "e1"),
                new WorkReceived(3_100, "e1", "r1"),
                new EndpointReturned(9_000, "e1"),
                new WorkReceived(9_001, "e1", "r2"))),
        arguments(
            "a planned stop that rejects a new request",
            List.of(
                booking("r1", "k"),
                new StopBegan(5, "n1"),
                new RequestRefused(6, "r1", "stopping", "not-run"),
                new StopEnded(10, "n1", 0))),
        arguments(
            "a configuration applied late by an isolated node",
            List.of(
                new ConfigAccepted(100, 4),
                new CutBegan(50, "n2"),
                configObserved(200, "n1", 4, "d"),
                configObserved(8_000, "n2", 3, "c"),
                new CutEnded(9_000, "n2"),
                configObserved(16_001, "n2", 4, "d"))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("validHistories")
  void acceptsValidHistories(String name, List<HistoryRecord> records) {
    assertThat(InvariantChecker.check(historyOf(records))).isEmpty();
  }

  @Test
  void everyInvariantHasAViolatingHistory() {
    assertThat(violatingHistories().map(testCase -> (Invariant) testCase.get()[1]).distinct())
        .containsExactlyInAnyOrder(Invariant.values());
  }

  @Test
  void jsonRoundTripKeepsHistory() {
    History original = new History();
    Stream.concat(violatingHistories(), validHistories())
        .map(testCase -> testCase.get()[testCase.get().length - 1])
        .forEach(
            records -> ((List<?>) records).forEach(record -> original.add((HistoryRecord) record)));
    History copy = new History();
    copy.addJsonLines(original.toJsonLines().lines());
    assertThat(copy.records()).isEqualTo(original.records());
  }

  private static History historyOf(List<HistoryRecord> records) {
    History history = new History();
    records.forEach(history::add);
    return history;
  }
}
