package org.sycamoretrack.core.request.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sycamoretrack.core.version.capacity.BatchWork;
import org.sycamoretrack.core.version.capacity.ServiceDemand;

/**
 * Measures the demand that the open batches of a node put on services: the tokens that are still to
 * be generated, the rate at which a slot generates them, and the tokens that trainers submit.
 *
 * <p>All counts are estimates in the same unit, the submitters' length hints and the typical tokens
 * of an event, so that only their ratio matters. Called about once a second; a batch that is
 * submitted and completes between two calls isn't seen. A batch that was taken over from another
 * node is work but no new submission.
 *
 * <p>Not thread-safe.
 */
public final class DemandMeter {
  /** Five steps of a trainer, which submits a batch about every 4 s. */
  private static final long SUBMISSION_WINDOW_MS = 20_000;

  /** A batch that is seen for the first time at a greater age was taken over. */
  private static final long MAX_NEW_BATCH_AGE_MS = 3_000;

  /** Smooths the rate over several seconds, which covers the wait for the first event of items. */
  private static final double RATE_WEIGHT = 0.2;

  private static final double MS_PER_SECOND = 1_000.0;

  private final int tokensPerEvent;
  private final LongestFirstOrder order;
  private final Map<String, Integer> eventsByBatch = new HashMap<>();
  private final Map<String, Double> ratesByService = new HashMap<>();
  private final Deque<Submission> submissions = new ArrayDeque<>();
  private long measuredAtMs = Long.MIN_VALUE;

  private record Submission(long seenAtMs, String service, String model, double tokens) {}

  /**
   * Creates a meter.
   *
   * @param tokensPerEvent the typical number of tokens in one event, above 0
   */
  public DemandMeter(int tokensPerEvent) {
    this.tokensPerEvent = tokensPerEvent;
    this.order = new LongestFirstOrder(tokensPerEvent);
  }

  /**
   * Measures the demand.
   *
   * @param batches the open batches of this node
   * @param nowMs the monotonic time in milliseconds
   * @param nowEpochMs the wall clock in milliseconds since the epoch
   * @return the demand by service, without services that have none
   */
  public Map<String, ServiceDemand> measure(
      Collection<OpenBatch> batches, long nowMs, long nowEpochMs) {
    Map<String, List<BatchWork>> work = new TreeMap<>();
    Map<String, Integer> running = new HashMap<>();
    Map<String, Integer> generated = new HashMap<>();
    Map<String, Integer> events = new HashMap<>();
    for (OpenBatch batch : batches) {
      BatchSubmission submission = batch.submission();
      String service = submission.service();
      int eventSum = 0;
      double tokens = 0;
      for (ItemProgress item : batch.items()) {
        eventSum += item.text().lastEvent();
        if (item.isRunning()) {
          running.merge(service, 1, Integer::sum);
          tokens += order.expectedTokens(item);
        } else if (!item.isFinished() && !item.text().isComplete()) {
          tokens += order.remainingTokens(item);
        }
      }
      Integer earlier = eventsByBatch.get(submission.id());
      if (earlier == null) {
        recordSubmission(submission, nowMs, nowEpochMs);
      } else {
        generated.merge(service, Math.max(0, eventSum - earlier), Integer::sum);
      }
      events.put(submission.id(), eventSum);
      work.computeIfAbsent(service, unused -> new ArrayList<>())
          .add(new BatchWork(tokens, dueInMs(submission, nowEpochMs)));
    }
    updateRates(running, generated, nowMs);
    eventsByBatch.clear();
    eventsByBatch.putAll(events);
    measuredAtMs = nowMs;
    return toDemand(work, running, nowMs);
  }

  private static long dueInMs(BatchSubmission submission, long nowEpochMs) {
    long dueMs = submission.routeSettings().dueMs();
    return dueMs <= 0 ? BatchWork.NO_DEADLINE : submission.acceptedAtMs() + dueMs - nowEpochMs;
  }

  private void recordSubmission(BatchSubmission submission, long nowMs, long nowEpochMs) {
    if (nowEpochMs - submission.acceptedAtMs() > MAX_NEW_BATCH_AGE_MS) {
      return;
    }
    Map<String, Double> tokens = new TreeMap<>();
    for (BatchItem item : submission.items()) {
      if (!item.model().isEmpty()) {
        tokens.merge(item.model(), (double) item.lengthHint(), Double::sum);
      }
    }
    tokens.forEach(
        (model, sum) -> submissions.add(new Submission(nowMs, submission.service(), model, sum)));
  }

  private void updateRates(
      Map<String, Integer> running, Map<String, Integer> generated, long nowMs) {
    if (measuredAtMs == Long.MIN_VALUE || nowMs <= measuredAtMs) {
      return;
    }
    double seconds = (nowMs - measuredAtMs) / MS_PER_SECOND;
    generated.forEach(
        (service, eventCount) -> {
          int slots = running.getOrDefault(service, 0);
          if (slots > 0 && eventCount > 0) {
            double rate = eventCount * (double) tokensPerEvent / (slots * seconds);
            ratesByService.merge(
                service, rate, (before, now) -> before + RATE_WEIGHT * (now - before));
          }
        });
  }

  private Map<String, ServiceDemand> toDemand(
      Map<String, List<BatchWork>> work, Map<String, Integer> running, long nowMs) {
    submissions.removeIf(submission -> nowMs - submission.seenAtMs > SUBMISSION_WINDOW_MS);
    Map<String, Map<String, Double>> models = new TreeMap<>();
    for (Submission submission : submissions) {
      models
          .computeIfAbsent(submission.service, unused -> new TreeMap<>())
          .merge(
              submission.model,
              submission.tokens / SUBMISSION_WINDOW_MS * MS_PER_SECOND,
              Double::sum);
    }
    Map<String, ServiceDemand> demand = new TreeMap<>();
    work.forEach((service, unused) -> demand.put(service, ServiceDemand.NONE));
    models.forEach((service, unused) -> demand.put(service, ServiceDemand.NONE));
    demand.replaceAll(
        (service, unused) ->
            new ServiceDemand(
                running.getOrDefault(service, 0),
                ratesByService.getOrDefault(service, 0.0),
                work.getOrDefault(service, List.of()),
                models.getOrDefault(service, Map.of())));
    return demand;
  }
}
