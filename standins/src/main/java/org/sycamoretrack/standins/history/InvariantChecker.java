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
 * Judges a history against every {@link Invariant}.
 *
 * <p>The judgement uses only what the far ends observed, never what a node says about itself: what
 * a trainer received is compared with what the engines produced, what a caller was told with what
 * the services executed. Each promise is one method that joins records by their ids:
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
 * <p>Example: a step of two slots of which the trainer received slot 0 twice gives two violations
 * of {@link Invariant#EXACTLY_ONCE}: one for the second sample, one for the missing slot 1.
 *
 * <p>A history must be complete: a step that is still open, or a request without an end, counts as
 * broken. Not thread-safe; made for one history.
 */
public final class InvariantChecker {
  /** Time after which a leaving endpoint must not receive new work, in milliseconds. */
  public static final long LEAVING_GRACE_MS = 3_000;

  /** Time within which an accepted configuration must be in force, in milliseconds. */
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
   * Judges a history.
   *
   * @param history the complete history
   * @return the violations, empty when every promise held
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
        report(Invariant.TRUE_VERSIONS, "the spans leave a gap or overlap", sample);
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
      return; // reported by checkExactlyOnce
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
    for (HistoryRecord item : records) {
      if (item instanceof PollEnded end) {
        ended.add(end.pollId());
      } else if (item instanceof SampleReceived sample) {
        if (ended.contains(sample.pollId())) {
          report(Invariant.EXACTLY_ONCE, "sample taken from a poll that had ended", sample);
        }
        checkSlot(sample, received);
      }
    }
    steps.forEach((id, step) -> checkComplete(step, received.getOrDefault(id, Map.of())));
  }

  private void checkSlot(SampleReceived sample, Map<StepId, Map<Integer, SampleReceived>> taken) {
    PollSent poll = polls.get(sample.pollId());
    StepOpened step = poll == null ? null : steps.get(stepOf(poll));
    if (step == null || sample.slot() < 0 || sample.slot() >= step.slots()) {
      report(Invariant.EXACTLY_ONCE, "sample of an unknown poll, step or slot", sample);
      return;
    }
    SampleReceived first =
        taken
            .computeIfAbsent(stepOf(poll), any -> new HashMap<>())
            .putIfAbsent(sample.slot(), sample);
    if (first != null) {
      report(Invariant.EXACTLY_ONCE, "slot " + sample.slot() + " received twice", first, sample);
    }
  }

  private void checkComplete(StepOpened step, Map<Integer, SampleReceived> received) {
    int missing = step.slots() - received.size();
    if (missing > 0) {
      report(Invariant.EXACTLY_ONCE, missing + " samples never reached the trainer", step);
    }
  }

  private void checkSampleTokenCount(SampleReceived sample) {
    if (tokens(sample.text()).size() != sample.tokens()) {
      report(Invariant.WHOLE_ANSWER, "the text does not have the number of tokens named", sample);
    }
  }

  private void checkResponses() {
    Set<String> ended = new HashSet<>();
    for (HistoryRecord item : records) {
      String requestId = endedRequestId(item);
      if (requestId == null) {
        continue;
      }
      if (!requests.containsKey(requestId) || !ended.add(requestId)) {
        report(Invariant.WHOLE_ANSWER, "an answer that no request waits for", item);
      } else if (item instanceof RequestAnswered answer) {
        checkResponse(requests.get(requestId), answer);
      }
    }
    requests.values().stream()
        .filter(request -> !ended.contains(request.requestId()))
        .forEach(request -> report(Invariant.WHOLE_ANSWER, "a request without any end", request));
  }

  private void checkResponse(RequestSent request, RequestAnswered answer) {
    if (request.expected() != null && !answer.answer().equals(request.expected())) {
      report(Invariant.WHOLE_ANSWER, "not the answer to this request", request, answer);
      return;
    }
    if (request.prompt() == null) {
      return;
    }
    List<String> tokens = tokens(answer.answer());
    if (tokens.isEmpty() || tokens.size() != answer.tokens()) {
      report(Invariant.WHOLE_ANSWER, "the text does not have the tokens named", request, answer);
    }
    for (int i = 0; i < tokens.size(); i++) {
      if (versionsOf(request.prompt(), i, tokens.get(i)).isEmpty()) {
        String message = "no engine produced token " + i + " for this prompt";
        report(Invariant.WHOLE_ANSWER, message, request, answer);
        return;
      }
    }
  }

  private static String endedRequestId(HistoryRecord item) {
    return switch (item) {
      case RequestAnswered answered -> answered.requestId();
      case RequestRefused refused -> refused.requestId();
      case RequestBroken broken -> broken.requestId();
      default -> null;
    };
  }

  private void checkRefusals() {
    Map<String, HistoryRecord> executed = new HashMap<>();
    all(CallExecuted.class).forEach(call -> executed.put(call.requestId(), call));
    all(EngineProduced.class).forEach(part -> executed.put(part.requestId(), part));
    for (RequestRefused refusal : all(RequestRefused.class)) {
      HistoryRecord execution = executed.get(refusal.requestId());
      if (refusal.outcome().equals("not-run") && execution != null) {
        report(Invariant.TRUE_REFUSAL, "refused as not run, but it ran", refusal, execution);
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
    for (HistoryRecord item : byTime()) {
      switch (item) {
        case EndpointLeaving begin -> leaving.put(begin.endpoint(), begin);
        case EndpointReturned end -> leaving.remove(end.endpoint());
        case WorkReceived work -> {
          EndpointLeaving begin = leaving.get(work.endpoint());
          if (begin != null && work.atMs() - begin.atMs() > LEAVING_GRACE_MS) {
            report(Invariant.NO_WORK_WHEN_LEAVING, "new work for a leaving endpoint", begin, work);
          }
        }
        default -> {
          // of no interest here
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
        report(Invariant.GRACEFUL_STOP, "the node did not end cleanly", began);
      }
      long endMs = ended == null ? Long.MAX_VALUE : ended.atMs();
      records.stream()
          .filter(
              item ->
                  item.atMs() >= began.atMs() && began.node().equals(interruptingNode(item, endMs)))
          .forEach(
              item -> report(Invariant.GRACEFUL_STOP, "cut off by a planned stop", began, item));
    }
  }

  /** Returns the node that left a request or poll, sent before it ended, without an answer. */
  private String interruptingNode(HistoryRecord item, long endMs) {
    if (item instanceof RequestBroken broken && broken.maybeSent()) {
      RequestSent request = requests.get(broken.requestId());
      return request != null && request.atMs() <= endMs ? request.node() : null;
    }
    if (item instanceof RequestRefused refusal && refusal.code().equals("stopping")) {
      RequestSent request = requests.get(refusal.requestId());
      return request == null || refusal.outcome().equals("not-run") ? null : request.node();
    }
    if (item instanceof PollEnded end && end.end() == PollEnd.BROKEN) {
      PollSent poll = polls.get(end.pollId());
      return poll != null && poll.atMs() <= endMs ? poll.node() : null;
    }
    return null;
  }

  private void checkConfiguration() {
    Map<String, ConfigObserved> last = new HashMap<>();
    Map<Long, ConfigObserved> byVersion = new HashMap<>();
    Map<String, Long> cutUntilMs = new HashMap<>();
    for (HistoryRecord item : byTime()) {
      switch (item) {
        case CutBegan cut -> cutUntilMs.put(cut.node(), Long.MAX_VALUE);
        case CutEnded end -> cutUntilMs.put(end.node(), end.atMs());
        case ConfigObserved seen -> {
          ConfigObserved before = last.put(seen.node(), seen);
          if (before != null && before.version() > seen.version()) {
            report(Invariant.DURABLE_CONFIGURATION, "a node went back", before, seen);
          }
          ConfigObserved other = byVersion.putIfAbsent(seen.version(), seen);
          if (other != null && !other.digest().equals(seen.digest())) {
            report(Invariant.DURABLE_CONFIGURATION, "two contents of one version", other, seen);
          }
          checkAppliedInTime(seen, cutUntilMs.getOrDefault(seen.node(), 0L));
        }
        default -> {
          // of no interest here
        }
      }
    }
  }

  private void checkAppliedInTime(ConfigObserved seen, long cutUntilMs) {
    if (cutUntilMs > seen.atMs() - CONFIG_APPLY_DEADLINE_MS) {
      return;
    }
    for (ConfigAccepted accepted : all(ConfigAccepted.class)) {
      boolean due = accepted.atMs() + CONFIG_APPLY_DEADLINE_MS < seen.atMs();
      if (due && accepted.version() > seen.version()) {
        report(Invariant.DURABLE_CONFIGURATION, "not in force in time", accepted, seen);
      }
    }
  }

  private void indexTokens(EngineProduced part) {
    List<String> tokens = tokens(part.text());
    for (int i = 0; i < tokens.size(); i++) {
      TokenPosition at = new TokenPosition(part.prompt(), part.fromToken() + i, tokens.get(i));
      produced.computeIfAbsent(at, any -> new HashSet<>()).add(part.version());
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
        .collect(Collectors.toMap(key, item -> item, (a, b) -> a, LinkedHashMap::new));
  }

  private void report(Invariant promise, String message, HistoryRecord... evidence) {
    violations.add(new Violation(promise, message, List.of(evidence)));
  }
}
