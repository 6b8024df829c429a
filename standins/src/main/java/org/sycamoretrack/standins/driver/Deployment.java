package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.sycamoretrack.transport.process.Json;

/**
 * A complete deployment, as read from a deployment file: zones, nodes, endpoints and their clients.
 *
 * @param name the name of the customer
 * @param region the region of all zones
 * @param zones the availability zones
 * @param nodesPerZone number of nodes in each zone
 * @param zoneDelayMs one-way network delay between zones, in milliseconds
 * @param clientDelayMs one-way network delay to clients, in milliseconds
 * @param pools the pools with their endpoints
 * @param trainers the trainers
 * @param callers the callers of interactive requests
 */
public record Deployment(
    String name,
    String region,
    List<String> zones,
    int nodesPerZone,
    double zoneDelayMs,
    double clientDelayMs,
    List<Pool> pools,
    List<Trainer> trainers,
    List<Caller> callers) {

  /** Type of the endpoints of a pool. */
  public enum PoolType {
    /** Model engines. */
    model,
    /** Plain services. */
    service
  }

  /** Type of the requests that a caller sends. */
  public enum CallerKind {
    /** Completions; every second one is streamed. */
    completion,
    /** {@code GET} requests to a plain service. */
    lookup,
    /** {@code POST} requests with an idempotency key to a plain service. */
    booking
  }

  /**
   * A pool of endpoints, spread over the zones.
   *
   * @param name the name; for plain services also the name of the service
   * @param type type of its endpoints
   * @param endpoints number of endpoints
   * @param medianTokens median length in tokens of completions; model pools only
   * @param tokenTimeUs microseconds per token of a single stream; model pools only
   * @param serviceTimeMs time that a call takes, in milliseconds; plain services only
   * @param unscorableShare share of the texts, from 0 to 1, for which a scorer reports an error
   *     each time; plain services only
   */
  public record Pool(
      String name,
      PoolType type,
      int endpoints,
      int medianTokens,
      int tokenTimeUs,
      int serviceTimeMs,
      double unscorableShare) {
    /** Validates the fields. */
    public Pool {
      require(name != null && type != null, "pools: name and type are required");
      require(endpoints > 0, "pools: endpoints must be greater than 0");
      require(
          unscorableShare >= 0 && unscorableShare <= 1,
          "pools: unscorableShare must be between 0 and 1");
    }
  }

  /**
   * A trainer.
   *
   * @param name the name of the trainer and of its track
   * @param zone its zone
   * @param pool the model pool that generates its samples
   * @param scorer the plain service that scores its samples, or null
   * @param steps number of training steps
   * @param groups number of groups in a step
   * @param samplesPerGroup number of samples in a group
   * @param maxTokens maximum number of tokens of a sample
   * @param maxVersionLag how many versions older than the trainer's a sample may be
   * @param trainTimeMs simulated training time of a step, in milliseconds
   */
  public record Trainer(
      String name,
      String zone,
      String pool,
      String scorer,
      int steps,
      int groups,
      int samplesPerGroup,
      int maxTokens,
      int maxVersionLag,
      int trainTimeMs) {
    /** Validates the fields. */
    public Trainer {
      require(name != null && pool != null, "trainers: name and pool are required");
      require(steps > 0 && groups > 0, "trainers: steps and groups must be greater than 0");
      require(samplesPerGroup > 0, "trainers: samplesPerGroup must be greater than 0");
      require(maxTokens > 0, "trainers: maxTokens must be greater than 0");
    }

    /** Returns the number of samples in a step. */
    public int slots() {
      return groups * samplesPerGroup;
    }
  }

  /**
   * A caller.
   *
   * @param name the name
   * @param zone its zone
   * @param kind type of its requests
   * @param target the pool or service that it calls
   * @param requestsPerSecond request rate
   * @param maxTokens maximum number of tokens of a completion
   */
  public record Caller(
      String name,
      String zone,
      CallerKind kind,
      String target,
      double requestsPerSecond,
      int maxTokens) {
    /** Validates the fields. */
    public Caller {
      require(
          name != null && kind != null && target != null,
          "callers: name, kind and target are required");
      require(requestsPerSecond > 0, "callers: requestsPerSecond must be greater than 0");
    }
  }

  /** Validates the fields. */
  public Deployment {
    require(name != null && region != null, "name and region are required");
    require(zones != null && !zones.isEmpty(), "zones: at least one is required");
    require(nodesPerZone > 0, "nodesPerZone must be greater than 0");
    require(
        pools != null && trainers != null && callers != null,
        "pools, trainers and callers are required");
    zones = List.copyOf(zones);
    pools = List.copyOf(pools);
    trainers = List.copyOf(trainers);
    callers = List.copyOf(callers);
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }

  /**
   * Reads a deployment file.
   *
   * @param file a JSON file
   * @throws IllegalArgumentException if the file can't be read or a field is unknown or invalid
   */
  public static Deployment read(Path file) {
    try {
      return parse(Files.readAllBytes(file));
    } catch (IOException e) {
      throw new IllegalArgumentException("can't read " + file, e);
    }
  }

  /**
   * Parses a deployment.
   *
   * @param json JSON in UTF-8
   * @throws IllegalArgumentException if a field is unknown or invalid
   */
  public static Deployment parse(byte[] json) {
    try {
      return Json.mapper()
          .readerFor(Deployment.class)
          .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .readValue(json);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("deployment: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("deployment: not JSON", e);
    }
  }

  /**
   * Returns the pool with the given name.
   *
   * @param poolName the name of the pool
   * @throws IllegalArgumentException if there is no such pool
   */
  public Pool pool(String poolName) {
    return pools.stream()
        .filter(pool -> pool.name().equals(poolName))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no pool named " + poolName));
  }
}
