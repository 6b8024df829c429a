package org.sycamoretrack.standins.version;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.standins.process.FaultInjector;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.standins.process.HttpUtils;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpRequest;

/**
 * The weights of one engine: what it serves, what it loads, and the orders it was given.
 *
 * <p>A load fetches the bytes from the weight store, then copies them for {@code loadTimeMs}; then
 * chunks come from the new version. A load that the store refuses ends without effect. A later
 * order replaces a load under way. Confined to the engine's event loop.
 */
public final class EngineWeights {
  private static final int FETCH_TIMEOUT_MS = 30_000;

  private final EventExecutor loop;
  private final HttpClient client;
  private final FaultInjector faults;
  private final InetSocketAddress weightStore;
  private final String model;
  private final int initialVersion;
  private final int loadTimeMs;
  private final boolean checksFence;
  private final ArrayNode orders = Json.mapper().createArrayNode();
  private int generatingVersion;
  private int reportedVersion;
  private Integer loadingVersion;
  private long fence;
  private long currentLoadId;

  /**
   * Creates the weights.
   *
   * @param loop the engine's event loop
   * @param client fetches the bytes
   * @param faults the engine's fault switch
   * @param source where weights come from and how long they take
   */
  public EngineWeights(EventExecutor loop, HttpClient client, FaultInjector faults, Source source) {
    this.loop = loop;
    this.client = client;
    this.faults = faults;
    this.weightStore = source.weightStore();
    this.model = source.model();
    this.initialVersion = source.initialVersion();
    this.loadTimeMs = source.loadTimeMs();
    this.checksFence = source.checksFence();
    reset();
  }

  /**
   * Where an engine's weights come from.
   *
   * @param weightStore the weight store; null to load without fetching
   * @param model the name of the model in the store
   * @param initialVersion the version after a start
   * @param loadTimeMs milliseconds from the fetched bytes to their use
   * @param checksFence whether orders with an old fencing number are refused
   */
  public record Source(
      InetSocketAddress weightStore,
      String model,
      int initialVersion,
      int loadTimeMs,
      boolean checksFence) {}

  /** Returns to the state after a start; the highest fencing number is kept. */
  public void reset() {
    currentLoadId++;
    loadingVersion = null;
    generatingVersion = initialVersion;
    reportedVersion = initialVersion;
  }

  /** Returns the version that makes tokens now. */
  public int generatingVersion() {
    return generatingVersion;
  }

  /** Returns the version that the engine reports. */
  public int reportedVersion() {
    return reportedVersion;
  }

  /** Returns whether a load is under way. */
  public boolean isLoading() {
    return loadingVersion != null;
  }

  /** Returns the answer to {@code GET /weights}. */
  public HttpAnswer report() {
    ObjectNode json = Json.object().put("version", reportedVersion).put("loading", loadingVersion);
    return HttpAnswer.json(200, json.put("fence", fence));
  }

  /** Returns the orders given so far, with what became of each. */
  public HttpAnswer orders() {
    return HttpAnswer.json(200, Json.object().set("orders", orders));
  }

  /**
   * Takes an order.
   *
   * @param order the body of {@code POST /orders}
   * @return the answer
   */
  public HttpAnswer acceptOrder(JsonNode order) {
    if (!order.path("order").asText().equals("load-weights") || !order.path("version").isInt()) {
      return HttpUtils.error(
          400, "invalid-request", "order and version: load-weights and a number");
    }
    long orderFence = order.path("fence").asLong();
    boolean stale = orderFence < fence;
    boolean accepted = !stale || !checksFence;
    orders.add(
        Json.object()
            .put("atMs", System.currentTimeMillis())
            .put("version", order.path("version").asInt())
            .put("fence", orderFence)
            .put("node", order.path("node").asText())
            .put("stale", stale)
            .put("accepted", accepted));
    if (!accepted) {
      return HttpUtils.error(409, "stale-fence", "the highest fencing number seen is " + fence);
    }
    fence = Math.max(fence, orderFence);
    load(order.path("version").asInt());
    return HttpAnswer.json(202, Json.object().put("accepted", true));
  }

  private void load(int version) {
    long load = ++currentLoadId;
    loadingVersion = version;
    if (weightStore == null) {
      scheduleFinish(load, version);
      return;
    }
    String target = "/models/" + model + "/versions/" + version + "/weights";
    HttpRequest request =
        HttpRequest.builder("GET", weightStore, target).timeoutMs(FETCH_TIMEOUT_MS).build();
    client
        .call(request)
        .whenComplete(
            (answer, failure) ->
                loop.execute(
                    () -> onFetched(load, version, failure == null && answer.status() == 200)));
  }

  private void onFetched(long load, int version, boolean fetched) {
    if (load != currentLoadId) {
      return;
    }
    if (fetched) {
      scheduleFinish(load, version);
    } else {
      loadingVersion = null;
    }
  }

  private void scheduleFinish(long load, int version) {
    loop.schedule(() -> finish(load, version), loadTimeMs, TimeUnit.MILLISECONDS);
  }

  private void finish(long load, int version) {
    if (load != currentLoadId || faults.trigger(FaultKind.LOAD_PARTIAL) != null) {
      return;
    }
    loadingVersion = null;
    if (faults.trigger(FaultKind.LOAD_FAILS) != null) {
      return;
    }
    reportedVersion = version;
    if (faults.trigger(FaultKind.LOAD_MISREPORTED) == null) {
      generatingVersion = version;
    }
  }
}
