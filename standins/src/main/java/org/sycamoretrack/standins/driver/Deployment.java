package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.sycamoretrack.transport.process.Json;

/**
 * A whole deployment: zones, nodes, endpoints and who uses them.
 *
 * @param name the customer
 * @param region the region of all zones
 * @param zones the availability zones
 * @param nodesPerZone entry hosts in each zone
 * @param zoneDelayMs one way between zones, in milliseconds
 * @param clientDelayMs one way to clients, in milliseconds
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

  /** What a pool serves. */
  public enum PoolType {
    /** Model engines. */
    model,
    /** Plain services. */
    service
  }

  /** What a caller sends. */
  public enum CallerKind {
    /** Completions, every other one streamed. */
    completion,
    /** {@code GET} of a plain service. */
    lookup,
    /** {@code POST} of a plain service with an idempotency key. */
    booking
  }

  /**
   * A pool of endpoints, spread over the zones.
   *
   * @param name the name, for a plain service also the service's
   * @param type what it serves
   * @param endpoints number of endpoints
   * @param medianTokens median length of answers of a model pool
   * @param tokenTimeUs time for each token of a single stream of a model pool
   * @param serviceTimeMs time that a call of a plain service takes
   */
  public record Pool(
      String name,
      PoolType type,
      int endpoints,
      int medianTokens,
      int tokenTimeUs,
      int serviceTimeMs) {
    /** Checks the fields. */
    public Pool {
      require(name != null && type != null, "pools: name and type are required");
      require(endpoints > 0, "pools: endpoints must be over 0");
    }
  }

  /**
   * A trainer.
   *
   * @param name the name, also of its track
   * @param zone the zone it is in
   * @param pool the model pool that serves it
   * @param scorer the plain service that scores its samples, or null
   * @param steps number of steps to train
   * @param groups groups in a step
   * @param samplesPerGroup samples in a group
   * @param maxTokens most tokens of a sample
   * @param maxVersionLag how many versions a sample may be older than the trainer's
   * @param trainTimeMs time to train on a step's samples
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
    /** Checks the fields. */
    public Trainer {
      require(name != null && pool != null, "trainers: name and pool are required");
      require(steps > 0 && groups > 0, "trainers: steps and groups must be over 0");
      require(samplesPerGroup > 0, "trainers: samplesPerGroup must be over 0");
      require(maxTokens > 0, "trainers: maxTokens must be over 0");
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
   * @param zone the zone it is in
   * @param kind what it sends
   * @param target the pool or service
   * @param requestsPerSecond its pace
   * @param maxTokens most tokens of a completion
   */
  public record Caller(
      String name,
      String zone,
      CallerKind kind,
      String target,
      double requestsPerSecond,
      int maxTokens) {
    /** Checks the fields. */
    public Caller {
      require(name != null && kind != null && target != null, "callers: a name, kind and target");
      require(requestsPerSecond > 0, "callers: requestsPerSecond must be over 0");
    }
  }

  /** Checks the fields. */
  public Deployment {
    require(name != null && region != null, "name and region are required");
    require(zones != null && !zones.isEmpty(), "zones: at least one is required");
    require(nodesPerZone > 0, "nodesPerZone must be over 0");
    require(pools != null && trainers != null && callers != null, "pools, trainers and callers");
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
   * Reads a deployment.
   *
   * @param file a file of JSON
   * @throws IllegalArgumentException when it can't be read or a field has the wrong form
   */
  public static Deployment read(Path file) {
    try {
      return parse(Files.readAllBytes(file));
    } catch (IOException e) {
      throw new IllegalArgumentException("can't read " + file, e);
    }
  }

  /**
   * Reads a deployment.
   *
   * @param json the JSON in UTF-8
   * @throws IllegalArgumentException when a field is unknown or has the wrong form
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
   * Returns a pool.
   *
   * @param poolName its name
   * @throws IllegalArgumentException when there is no such pool
   */
  public Pool pool(String poolName) {
    return pools.stream()
        .filter(pool -> pool.name().equals(poolName))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no pool " + poolName));
  }
}
