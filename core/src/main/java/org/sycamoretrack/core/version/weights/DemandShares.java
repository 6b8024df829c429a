package org.sycamoretrack.core.version.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Partitions the endpoints of a service into one share for each of its models, in proportion to the
 * demand of their open batches.
 *
 * <p>The load: trainers of different models need 1,400 to 2,400 events a step, with a step about
 * every 4 s. With equal shares the batches of the model with the highest demand end last, while
 * endpoints of the others are idle. Moving an endpoint costs a load of weights, 0.9 s during which
 * it gets no items, so shares follow the demand slowly:
 *
 * <ul>
 *   <li>While the demands differ by less than a factor of {@value #MIN_RATIO}, the shares are those
 *       of {@link ModelAssignment}. After a larger difference they return to them by single moves.
 *   <li>A share is changed when it is off by more than one endpoint and more than a fifth of its
 *       size in proportion to the demand. It is then changed until it is off by less than one.
 *   <li>At most one endpoint is moved in {@value #MOVE_INTERVAL_MS} ms. Only a share that has no
 *       endpoint left gets one at once.
 *   <li>An endpoint that is new joins the share that lacks most. This is not a move.
 * </ul>
 *
 * <p>Example: 12 endpoints and the demands 14, 24 and 24. In proportion, the shares are 2.7, 4.6
 * and 4.6. From 4, 4 and 4 one endpoint is moved, since 4 is off by 1.3, which gives 3, 5 and 4.
 *
 * <p>Not thread-safe.
 */
public final class DemandShares {
  /** The ratio of the largest to the smallest demand from which shares differ. */
  private static final double MIN_RATIO = 1.4;

  /** The part of a share by which it may be off. */
  private static final double TOLERANCE = 0.2;

  /** The minimum time between two moves, in milliseconds; about the time of a step. */
  private static final long MOVE_INTERVAL_MS = 4_000;

  private boolean byDemand;
  private boolean moving;
  private long movedAtMs = Long.MIN_VALUE;

  /** Creates an instance that starts with equal shares. */
  public DemandShares() {}

  /**
   * Computes the shares.
   *
   * @param models the models of a service
   * @param endpointIds the endpoints of the service that may get new work
   * @param previous the previous shares by model; may contain endpoints that no longer exist
   * @param demand the expected tokens a second by model; without any, the shares are kept
   * @param nowMs the current time in milliseconds of the monotonic clock
   * @return the endpoints by model, ordered by id
   */
  public Map<String, List<String>> assign(
      Collection<String> models,
      Collection<String> endpointIds,
      Map<String, List<String>> previous,
      Map<String, Double> demand,
      long nowMs) {
    double total = models.stream().mapToDouble(model -> demand.getOrDefault(model, 0.0)).sum();
    boolean unequal = total > 0 && ratio(models, demand) >= MIN_RATIO;
    byDemand |= unequal || areUnequal(models, previous);
    if (!byDemand || endpointIds.size() < models.size() || models.size() < 2) {
      return ModelAssignment.assign(models, endpointIds, previous);
    }
    Map<String, NavigableSet<String>> shares = new TreeMap<>();
    NavigableSet<String> unassigned = new TreeSet<>(endpointIds);
    for (String model : models) {
      NavigableSet<String> share = new TreeSet<>(previous.getOrDefault(model, List.of()));
      share.retainAll(unassigned);
      unassigned.removeAll(share);
      shares.put(model, share);
    }
    Map<String, Double> ideal = idealSizes(shares, endpointIds.size(), demand, total, unequal);
    for (String id : unassigned) {
      shares.get(lacking(shares, ideal)).add(id);
    }
    fillEmpty(shares, ideal);
    moveOne(shares, ideal, nowMs);
    Map<String, List<String>> result = new TreeMap<>();
    shares.forEach((model, share) -> result.put(model, new ArrayList<>(share)));
    byDemand = unequal || total == 0 || areUnequal(models, result);
    return result;
  }

  private static double ratio(Collection<String> models, Map<String, Double> demand) {
    double largest = 0;
    double smallest = Double.POSITIVE_INFINITY;
    for (String model : models) {
      largest = Math.max(largest, demand.getOrDefault(model, 0.0));
      smallest = Math.min(smallest, demand.getOrDefault(model, 0.0));
    }
    return largest / smallest;
  }

  /** Returns whether the sizes of disjoint shares differ by more than {@link ModelAssignment}'s. */
  private static boolean areUnequal(Collection<String> models, Map<String, List<String>> shares) {
    IntSummaryStatistics sizes =
        models.stream()
            .mapToInt(model -> shares.getOrDefault(model, List.of()).size())
            .summaryStatistics();
    long distinct =
        models.stream()
            .flatMap(model -> shares.getOrDefault(model, List.of()).stream())
            .distinct()
            .count();
    return sizes.getSum() == distinct && sizes.getMax() - sizes.getMin() > 1;
  }

  /** Returns the sizes in proportion to the demand, at least 1; the current ones without any. */
  private static Map<String, Double> idealSizes(
      Map<String, NavigableSet<String>> shares,
      int endpoints,
      Map<String, Double> demand,
      double total,
      boolean unequal) {
    Map<String, Double> ideal = new HashMap<>();
    shares.forEach(
        (model, share) -> {
          double size = (double) endpoints / shares.size();
          if (total == 0) {
            size = share.size();
          } else if (unequal) {
            size = endpoints * demand.getOrDefault(model, 0.0) / total;
          }
          ideal.put(model, Math.max(1, size));
        });
    double excess = ideal.values().stream().mapToDouble(size -> size).sum() - endpoints;
    if (excess > 0) {
      // The models that are raised to one endpoint take it from the others in proportion.
      double above = ideal.values().stream().mapToDouble(size -> size - 1).sum();
      ideal.replaceAll((model, size) -> above <= 0 ? size : size - excess * (size - 1) / above);
    }
    return ideal;
  }

  private static String lacking(
      Map<String, NavigableSet<String>> shares, Map<String, Double> ideal) {
    return shares.keySet().stream()
        .min(Comparator.comparingDouble(model -> excess(shares, ideal, model)))
        .orElseThrow();
  }

  private static String exceeding(
      Map<String, NavigableSet<String>> shares, Map<String, Double> ideal) {
    return shares.keySet().stream()
        .filter(model -> shares.get(model).size() > 1)
        .max(Comparator.comparingDouble(model -> excess(shares, ideal, model)))
        .orElseThrow();
  }

  private static double excess(
      Map<String, NavigableSet<String>> shares, Map<String, Double> ideal, String model) {
    return shares.get(model).size() - ideal.get(model);
  }

  private static void fillEmpty(
      Map<String, NavigableSet<String>> shares, Map<String, Double> ideal) {
    for (NavigableSet<String> share : shares.values()) {
      if (share.isEmpty()) {
        share.add(shares.get(exceeding(shares, ideal)).pollLast());
      }
    }
  }

  private void moveOne(
      Map<String, NavigableSet<String>> shares, Map<String, Double> ideal, long nowMs) {
    boolean off =
        shares.keySet().stream()
            .anyMatch(
                model ->
                    Math.abs(excess(shares, ideal, model))
                        > Math.max(1, TOLERANCE * ideal.get(model)));
    String from =
        shares.values().stream().anyMatch(share -> share.size() > 1)
            ? exceeding(shares, ideal)
            : lacking(shares, ideal);
    String to = lacking(shares, ideal);
    // Moving an endpoint between shares that are off by less than one in sum can't improve them.
    boolean improves = excess(shares, ideal, from) - excess(shares, ideal, to) > 1;
    moving = improves && (moving || off);
    if (moving && (movedAtMs == Long.MIN_VALUE || nowMs - movedAtMs >= MOVE_INTERVAL_MS)) {
      movedAtMs = nowMs;
      shares.get(to).add(shares.get(from).pollLast());
    }
  }
}
