package org.sycamoretrack.standins.version;

import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.standins.process.HttpUtils;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * A weight store with a rate limit on fetches.
 *
 * <p>The rate limit is a token bucket with a capacity of {@code burst} and a refill rate of {@code
 * fetchesPerSecond}. A fetch that finds the bucket empty is rejected with status 429. Every model
 * has version 1 from the start. Thread-safe.
 */
public final class WeightStoreStandin {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final byte[] weights;
  private final double fetchesPerSecond;
  private final double burst;
  private final Map<String, NavigableSet<Integer>> versionsByModel = new TreeMap<>();
  private double tokens;
  private long refilledNs = System.nanoTime();
  private long fetches;
  private long refusals;

  /**
   * Creates a store.
   *
   * @param weightsBytes size of the weights of each version
   * @param fetchesPerSecond sustained rate limit of fetches
   * @param burst maximum burst of fetches
   */
  public WeightStoreStandin(int weightsBytes, double fetchesPerSecond, int burst) {
    this.weights = new byte[weightsBytes];
    this.fetchesPerSecond = fetchesPerSecond;
    this.burst = burst;
    this.tokens = burst;
  }

  /**
   * Publishes a version.
   *
   * @param model the model
   * @param version the version, greater than 0
   */
  public synchronized void publish(String model, int version) {
    versions(model).add(version);
  }

  /** Returns the number of fetches served. */
  public synchronized long fetches() {
    return fetches;
  }

  /** Returns the number of fetches rejected by the rate limit. */
  public synchronized long refusals() {
    return refusals;
  }

  private NavigableSet<Integer> versions(String model) {
    return versionsByModel.computeIfAbsent(model, any -> new TreeSet<>(List.of(1)));
  }

  /**
   * Handles a request to {@code /models}.
   *
   * @param method the HTTP method
   * @param segments the decoded segments of the path
   */
  public synchronized HttpResponse handle(String method, String[] segments) {
    if (segments.length < 3 || !segments[2].equals("versions")) {
      return HttpUtils.error(404, "not-found", "no such path");
    }
    NavigableSet<Integer> versions = versions(segments[1]);
    if (segments.length == 3) {
      return HttpResponse.json(200, Map.of("latest", versions.last(), "versions", versions));
    }
    int version = Integer.parseInt(segments[3]);
    if (segments.length == 4 && method.equals("PUT")) {
      versions.add(version);
      return HttpResponse.json(200, Map.of("latest", versions.last()));
    }
    if (segments.length == 5 && versions.contains(version)) {
      return fetch();
    }
    return HttpUtils.error(404, "not-found", "no such version");
  }

  private HttpResponse fetch() {
    long nowNs = System.nanoTime();
    double refill = (nowNs - refilledNs) / NANOS_PER_SECOND * fetchesPerSecond;
    tokens = Math.min(burst, tokens + refill);
    refilledNs = nowNs;
    if (tokens < 1) {
      refusals++;
      return HttpUtils.tooManyRequests((long) Math.ceil((1 - tokens) / fetchesPerSecond));
    }
    tokens--;
    fetches++;
    return new HttpResponse(200, Map.of("content-type", "application/octet-stream"), weights);
  }
}
