package org.sycamoretrack.standins.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
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

/**
 * Checks a history for violations of every {@link Invariant}.
 *
 * <p>The checks rely on observations of clients and endpoints, never on what a node reports about
 * its own work: samples and completions are compared with the tokens that engines produced, and
 * responses to calls with the executions of the services. Each invariant has its own method, which
 * joins records by their ids:
 *
 * <pre>
 * StepOpened(track, step) - PollSent(pollId) - SampleReceived(pollId, prompt, text)
 *                                                 |
 *                        EngineProduced(prompt, token index, token, version)
 * RequestSent(requestId, key) - RequestAnswered / RequestRefused / RequestBroken(requestId)
 *         |
 * CallExecuted(requestId, key)
 * </pre>
 *
 * <p>Example: if a trainer receives slot 0 of a two-slot step twice, there are two violations of
 * {@link Invariant#EXACTLY_ONCE}: one for the duplicate sample and one for the missing slot 1.
 *
 * <p>A history must be complete: a step with missing samples, or a request without a recorded end,
 * is a violation. Not thread-safe; an instance checks one history.
 */
public final class InvariantChecker {
  /** Time after which a leaving endpoint must not receive new requests, in milliseconds. */
  public static final long LEAVING_GRACE_MS = 3_000;

  /** Time within which all nodes must apply an accepted configuration, in milliseconds. */
  public static final long CONFIG_APPLY_DEADLINE_MS = 7_000;

  private record TokenPosition(String prompt, int index, String token) {}

  private record StepId(String track, long step) {}

  private final List<HistoryRecord> records;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, PollSent> polls;
  private final Map<String, RequestSent> requests;
  private final Map<StepId, StepOpened> steps;
  private final Map<TokenPosition, Set<Long>> produced = new HashMap<>();

  private InvariantChecker(History history) {
    records = history.records();
    polls = index(PollSent.class, PollSent::pollId);
    requests = index(RequestSent.class, RequestSent::requestId);
    steps = index(StepOpened.class, step -> new StepId(step.track(), step.step()));
    all(EngineProduced.class).forEach(this::indexTokens);
  }

  /**
   * Checks a history.
   *
   * @param history the complete history
   * @return the violations; empty if all invariants hold
   */
  public static List<Violation> check(History history) {
    InvariantChecker checker = new InvariantChecker(history);
    checker.all(SampleReceived.class).forEach(checker::checkVersions);
    checker.all(SampleReceived.class).forEach(checker::checkStaleness);
    checker.checkExactlyOnce();
    checker.all(SampleReceived.class).forEach(checker::checkSampleTokenCount);
    checker.checkResponses();
    checker.checkRefusals();
    checker.checkAtMostOnce();
    checker.checkLeaving();
    checker.checkGracefulStops();
    checker.checkConfiguration();
    return List.copyOf(checker.violations);
  }

  private void checkVersions(SampleReceived sample) {
    int next = 0;
    List<String> tokens = tokens(sample.text());
    for (Span span : sample.spans()) {
      if (span.fromToken() != next || span.toToken() <= next) {
        report(Invariant.TRUE_VERSIONS, "the spans have a gap or overlap", sample);
        return;
      }
      next = span.toToken();
      for (int i = span.fromToken(); i < Math.min(next, tokens.size()); i++) {
        if (!versionsOf(sample.prompt(), i, tokens.get(i)).contains(span.version())) {
          String message = "no engine produced token " + i + " with version " + span.version();
          report(Invariant.TRUE_VERSIONS, message, sample);
          return;
        }
      }
    }
    if (next != sample.tokens()) {
      report(Invariant.TRUE_VERSIONS, "the spans end at token " + next, sample);
    }
  }

  private void checkStaleness(SampleReceived sample) {
    PollSent poll = polls.get(sample.pollId());
    StepOpened step = poll == null ? null : steps.get(stepOf(poll));
    if (step == null) {
      return; // checkExactlyOnce reports it
    }
    long oldestAllowed = poll.trainsVersion() - step.maxVersionLag();
    for (Span span : sample.spans()) {
      if (span.version() < oldestAllowed) {
        String message = "version " + span.version() + " is older than " + oldestAllowed;
        report(Invariant.BOUNDED_STALENESS, message, step, poll, sample);
      }
    }
  }

  private void checkExactlyOnce() {
    Map<StepId, Map<Integer, SampleReceived>> received = new HashMap<>();
    Set<String> ended = new HashSet<>();
    for (HistoryRecord record : records) {
      if (record instanceof PollEnded end) {
        ended.add(end.pollId());
      } else if (record instanceof SampleReceived sample) {
        if (ended.contains(sample.pollId())) {
          report(Invariant.EXACTLY_ONCE, "sample received from a poll that had ended", sample);
        }
        checkSlot(sample, received);
      }
    }
    steps.forEach((id, step) -> checkComplete(step, received.getOrDefault(id, Map.of())));
  }

  private void checkSlot(
      SampleReceived sample, Map<StepId, Map<Integer, SampleReceived>> received) {
    PollSent poll = polls.get(sample.pollId());
    StepOpened step = poll == null ? null : steps.get(stepOf(poll));
    if (step == null || sample.slot() < 0 || sample.slot() >= step.slots()) {
      report(Invariant.EXACTLY_ONCE, "sample of an unknown poll, step or slot", sample);
      return;
    }
    SampleReceived first =
        received
            .computeIfAbsent(stepOf(poll), any -> new HashMap<>())
            .putIfAbsent(sample.slot(), sample);
    if (first != null) {
      report(Invariant.EXACTLY_ONCE, "slot " + sample.slot() + " received twice", first, sample);
    }
  }

  private void checkComplete(StepOpened step, Map<Integer, SampleReceived> received) {
    int missing = step.slots() - received.size();
    if (missing > 0) {
      report(Invariant.EXACTLY_ONCE, missing + " samples were not delivered to the trainer", step);
    }
  }

  private void checkSampleTokenCount(SampleReceived sample) {
    if (tokens(sample.text()).size() != sample.tokens()) {
      report(
          Invariant.WHOLE_ANSWER, "the text does not have the reported number of tokens", sample);
    }
  }

  private void checkResponses() {
    Set<String> ended = new HashSet<>();
    for (HistoryRecord record : records) {
      String requestId = endedRequestId(record);
      if (requestId == null) {
        continue;
      }
      if (!requests.containsKey(requestId) || !ended.add(requestId)) {
        report(Invariant.WHOLE_ANSWER, "a response without a pending request", record);
      } else if (record instanceof RequestAnswered response) {
        checkResponse(requests.get(requestId), response);
      }
    }
    requests.values().stream()
        .filter(request -> !ended.contains(request.requestId()))
        .forEach(
            request ->
                report(Invariant.WHOLE_ANSWER, "a request without a response or failure", request));
  }

  private void checkResponse(RequestSent request, RequestAnswered response) {
    if (request.expected() != null && !response.answer().equals(request.expected())) {
      report(
          Invariant.WHOLE_ANSWER, "the response differs from the expected one", request, response);
      return;
    }
    if (request.prompt() == null) {
      return;
    }
    List<String> tokens = tokens(response.answer());
    if (tokens.isEmpty() || tokens.size() != response.tokens()) {
      report(
          Invariant.WHOLE_ANSWER,
          "the text does not have the reported number of tokens",
          request,
          response);
    }
    for (int i = 0; i < tokens.size(); i++) {
      if (versionsOf(request.prompt(), i, tokens.get(i)).isEmpty()) {
        String message = "no engine produced token " + i + " for this prompt";
        report(Invariant.WHOLE_ANSWER, message, request, response);
        return;
      }
    }
  }

  private static String endedRequestId(HistoryRecord record) {
    return switch (record) {
      case RequestAnswered answered -> answered.requestId();
      case RequestRefused refused -> refused.requestId();
      case RequestBroken broken -> broken.requestId();
      default -> null;
    };
  }

  private void checkRefusals() {
    Map<String, HistoryRecord> executed = new HashMap<>();
    all(CallExecuted.class).forEach(call -> executed.put(call.requestId(), call));
    all(EngineProduced.class).forEach(range -> executed.put(range.requestId(), range));
    for (RequestRefused refusal : all(RequestRefused.class)) {
      HistoryRecord execution = executed.get(refusal.requestId());
      if (refusal.outcome().equals("not-run") && execution != null) {
        report(
            Invariant.TRUE_REFUSAL, "rejected as not run, but it was executed", refusal, execution);
      }
    }
  }

  private void checkAtMostOnce() {
    Map<String, CallExecuted> byKey = new HashMap<>();
    Map<String, CallExecuted> byRequest = new HashMap<>();
    for (CallExecuted call : all(CallExecuted.class)) {
      RequestSent request = requests.get(call.requestId());
      CallExecuted first = null;
      if (call.key() != null) {
        first = byKey.putIfAbsent(call.key(), call);
      } else if (request != null && !request.repeatable()) {
        first = byRequest.putIfAbsent(call.requestId(), call);
      }
      if (first != null) {
        report(Invariant.AT_MOST_ONCE, "executed twice", first, call);
      }
    }
  }

  private void checkLeaving() {
    Map<String, EndpointLeaving> leaving = new HashMap<>();
    for (HistoryRecord record : byTime()) {
      switch (record) {
        case EndpointLeaving begin -> leaving.put(begin.endpoint(), begin);
        case EndpointReturned end -> leaving.remove(end.endpoint());
        case WorkReceived work -> {
          EndpointLeaving begin = leaving.get(work.endpoint());
          if (begin != null && work.atMs() - begin.atMs() > LEAVING_GRACE_MS) {
            report(
                Invariant.NO_WORK_WHEN_LEAVING, "new request to a leaving endpoint", begin, work);
          }
        }
        default -> {
          // not relevant for this invariant
        }
      }
    }
  }

  private void checkGracefulStops() {
    for (StopBegan began : all(StopBegan.class)) {
      StopEnded ended =
          first(
              StopEnded.class,
              end -> end.node().equals(began.node()) && end.atMs() >= began.atMs());
      if (ended == null || ended.exitCode() != 0) {
        report(Invariant.GRACEFUL_STOP, "the node did not exit cleanly", began);
      }
      long endMs = ended == null ? Long.MAX_VALUE : ended.atMs();
      records.stream()
          .filter(
              record ->
                  record.atMs() >= began.atMs()
                      && began.node().equals(interruptingNode(record, endMs)))
          .forEach(
              record ->
                  report(Invariant.GRACEFUL_STOP, "interrupted by a planned stop", began, record));
    }
  }

  /**
   * If the record shows that a request or poll, sent before its node exited, was interrupted,
   * returns the id of that node; otherwise null.
   */
  private String interruptingNode(HistoryRecord record, long endMs) {
    if (record instanceof RequestBroken broken && broken.maybeSent()) {
      RequestSent request = requests.get(broken.requestId());
      return request != null && request.atMs() <= endMs ? request.node() : null;
    }
    if (record instanceof RequestRefused refusal && refusal.code().equals("stopping")) {
      RequestSent request = requests.get(refusal.requestId());
      return request == null || refusal.outcome().equals("not-run") ? null : request.node();
    }
    if (record instanceof PollEnded end && end.end() == PollEnd.BROKEN) {
      PollSent poll = polls.get(end.pollId());
      return poll != null && poll.atMs() <= endMs ? poll.node() : null;
    }
    return null;
  }

  private void checkConfiguration() {
    Map<String, ConfigObserved> last = new HashMap<>();
    Map<Long, ConfigObserved> byVersion = new HashMap<>();
    Map<String, Long> isolatedUntilMs = new HashMap<>();
    for (HistoryRecord record : byTime()) {
      switch (record) {
        case CutBegan isolation -> isolatedUntilMs.put(isolation.node(), Long.MAX_VALUE);
        case CutEnded end -> isolatedUntilMs.put(end.node(), end.atMs());
        case ConfigObserved observed -> {
          ConfigObserved before = last.put(observed.node(), observed);
          if (before != null && before.version() > observed.version()) {
            report(
                Invariant.DURABLE_CONFIGURATION,
                "a node reverted to an older configuration",
                before,
                observed);
          }
          ConfigObserved other = byVersion.putIfAbsent(observed.version(), observed);
          if (other != null && !other.digest().equals(observed.digest())) {
            report(
                Invariant.DURABLE_CONFIGURATION,
                "different contents for the same version",
                other,
                observed);
          }
          checkAppliedInTime(observed, isolatedUntilMs.getOrDefault(observed.node(), 0L));
        }
        default -> {
          // not relevant for this invariant
        }
      }
    }
  }

  private void checkAppliedInTime(ConfigObserved observed, long isolatedUntilMs) {
    if (isolatedUntilMs > observed.atMs() - CONFIG_APPLY_DEADLINE_MS) {
      return;
    }
    for (ConfigAccepted accepted : all(ConfigAccepted.class)) {
      boolean due = accepted.atMs() + CONFIG_APPLY_DEADLINE_MS < observed.atMs();
      if (due && accepted.version() > observed.version()) {
        report(
            Invariant.DURABLE_CONFIGURATION,
            "configuration not applied before the deadline",
            accepted,
            observed);
      }
    }
  }

  private void indexTokens(EngineProduced range) {
    List<String> tokens = tokens(range.text());
    for (int i = 0; i < tokens.size(); i++) {
      TokenPosition position =
          new TokenPosition(range.prompt(), range.fromToken() + i, tokens.get(i));
      produced.computeIfAbsent(position, any -> new HashSet<>()).add(range.version());
    }
  }

  private Set<Long> versionsOf(String prompt, int index, String token) {
    return produced.getOrDefault(new TokenPosition(prompt, index, token), Set.of());
  }

  /** Splits a text into its tokens, each of which begins with a space. */
  private static List<String> tokens(String text) {
    return text.isEmpty() ? List.of() : List.of(text.split("(?<!^)(?= )", -1));
  }

  private static StepId stepOf(PollSent poll) {
    return new StepId(poll.track(), poll.step());
  }

  private List<HistoryRecord> byTime() {
    return records.stream().sorted(Comparator.comparingLong(HistoryRecord::atMs)).toList();
  }

  private <T extends HistoryRecord> List<T> all(Class<T> type) {
    return records.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private <T extends HistoryRecord> T first(Class<T> type, Predicate<T> condition) {
    return all(type).stream().filter(condition).findFirst().orElse(null);
  }

  private <K, T extends HistoryRecord> Map<K, T> index(Class<T> type, Function<T, K> key) {
    return all(type).stream()
        .collect(
            Collectors.toMap(key, record -> record, (first, second) -> first, LinkedHashMap::new));
  }

  private void report(Invariant invariant, String message, HistoryRecord... evidence) {
    violations.add(new Violation(invariant, message, List.of(evidence)));
  }
}
