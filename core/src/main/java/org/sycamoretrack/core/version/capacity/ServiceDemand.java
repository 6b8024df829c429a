package org.sycamoretrack.core.version.capacity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The demand that the open batches of a node, or of all nodes, put on a service. Immutable.
 *
 * @param slots the number of slots on which the rate was measured
 * @param tokensPerSlotSecond the measured rate of one slot, 0 if unknown
 * @param work the open batches
 * @param modelTokensPerSecond the expected tokens a second of the batches submitted over the last
 *     steps, by model
 */
public record ServiceDemand(
    double slots,
    double tokensPerSlotSecond,
    List<BatchWork> work,
    Map<String, Double> modelTokensPerSecond) {
  /** No demand. */
  public static final ServiceDemand NONE = new ServiceDemand(0, 0, List.of(), Map.of());

  private static final double MIN_CHANGE = 0.1;

  /** Copies the collections. */
  public ServiceDemand {
    work = List.copyOf(work);
    modelTokensPerSecond = Map.copyOf(modelTokensPerSecond);
  }

  /** Returns whether there is neither an open batch nor one over the last steps. */
  public boolean isEmpty() {
    return work.isEmpty() && modelTokensPerSecond.isEmpty();
  }

  /**
   * Returns the sum of the demands of several nodes. The rate is the mean by slots.
   *
   * @param demands the demands
   */
  public static ServiceDemand sum(Collection<ServiceDemand> demands) {
    double slots = 0;
    double tokensPerSecond = 0;
    List<BatchWork> work = new ArrayList<>();
    Map<String, Double> models = new HashMap<>();
    for (ServiceDemand demand : demands) {
      slots += demand.slots;
      tokensPerSecond += demand.slots * demand.tokensPerSlotSecond;
      work.addAll(demand.work);
      demand.modelTokensPerSecond.forEach((model, rate) -> models.merge(model, rate, Double::sum));
    }
    return new ServiceDemand(slots, slots > 0 ? tokensPerSecond / slots : 0, work, models);
  }

  /**
   * Returns this demand as it is known some time later.
   *
   * @param elapsedMs the time in milliseconds, by which the deadlines are closer
   */
  public ServiceDemand after(long elapsedMs) {
    List<BatchWork> later =
        work.stream()
            .map(
                batch ->
                    batch.dueInMs() == BatchWork.NO_DEADLINE
                        ? batch
                        : new BatchWork(batch.tokens(), batch.dueInMs() - elapsedMs))
            .toList();
    return new ServiceDemand(slots, tokensPerSlotSecond, later, modelTokensPerSecond);
  }

  /**
   * Returns whether this demand differs from an earlier one by a tenth.
   *
   * @param earlier the earlier demand
   */
  public boolean differsFrom(ServiceDemand earlier) {
    return work.size() != earlier.work.size()
        || differ(tokens(), earlier.tokens())
        || differ(tokensPerSlotSecond, earlier.tokensPerSlotSecond)
        || !modelTokensPerSecond.keySet().equals(earlier.modelTokensPerSecond.keySet())
        || modelTokensPerSecond.entrySet().stream()
            .anyMatch(
                rate -> differ(rate.getValue(), earlier.modelTokensPerSecond.get(rate.getKey())));
  }

  private double tokens() {
    return work.stream().mapToDouble(BatchWork::tokens).sum();
  }

  private static boolean differ(double value, double earlier) {
    return Math.abs(value - earlier) > MIN_CHANGE * Math.max(value, earlier);
  }
}
