package org.sycamoretrack.daemon.request;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.StepId;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpHandler;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * The HTTP API of the trainer port: opens, polls and closes steps.
 *
 * <p>A call is handled by the owner of the step, which is determined among the live nodes of this
 * zone. Other nodes forward the call to the owner over the peer link. While the owner is
 * unreachable, forwarding is retried until the members agree on a new owner, for at most {@value
 * #FORWARD_TIMEOUT_MS} ms.
 */
public final class TrainerApi {
  /** The name of this API on the peer link. */
  static final String PEER_API = "trainer";

  private static final String STEP_PATH = "/v1/tracks/([^/]+)/steps/(\\d{1,18})";
  private static final int FORWARD_TIMEOUT_MS = 5_000;
  private static final int FORWARD_RETRY_DELAY_MS = 100;
  private static final int RESPONSE_TIMEOUT_MS = 35_000;

  private final String nodeId;
  private final StepRegistry steps;
  private final PeerCalls peers;
  private final Function<String, Optional<String>> ownerOf;
  private final Router router;
  private final Router localRouter;

  /**
   * Creates the API and registers it for calls forwarded by other nodes.
   *
   * @param nodeId the id of this node
   * @param steps the steps that this node owns
   * @param peers forwards calls to other nodes
   * @param ownerOf returns the owner of a key among the live nodes of this zone
   */
  public TrainerApi(
      String nodeId,
      StepRegistry steps,
      PeerCalls peers,
      Function<String, Optional<String>> ownerOf) {
    this.nodeId = nodeId;
    this.steps = steps;
    this.peers = peers;
    this.ownerOf = ownerOf;
    this.router = newRouter(this::route);
    this.localRouter = newRouter((exchange, path) -> handleLocally(exchange, path));
    peers.handle(PEER_API, localRouter);
  }

  private static Router newRouter(Router.PathHandler handler) {
    return new Router()
        .route(STEP_PATH, Map.of("PUT", handler, "DELETE", handler))
        .route(STEP_PATH + "/poll", Map.of("POST", handler));
  }

  /** Returns the handler of the trainer port. */
  public HttpHandler handler() {
    return router;
  }

  private static StepId id(Matcher path) {
    String track = URLDecoder.decode(path.group(1), StandardCharsets.UTF_8);
    return new StepId(track, Long.parseLong(path.group(2)));
  }

  private void route(HttpExchange exchange, Matcher path) {
    callOwner(exchange, path, System.nanoTime());
  }

  private void callOwner(HttpExchange exchange, Matcher path, long startNanos) {
    String owner = ownerOf.apply(id(path).key()).orElse(nodeId);
    if (owner.equals(nodeId)) {
      Router.handleSafely(call -> handleLocally(call, path), exchange);
      return;
    }
    var forwarded = peers.forward(owner, PEER_API, exchange, RESPONSE_TIMEOUT_MS);
    exchange.onClientDisconnect(() -> forwarded.cancel(false));
    forwarded.whenComplete(
        (response, failure) -> {
          if (failure == null) {
            exchange.respond(response);
          } else {
            onForwardFailed(exchange, path, startNanos, ErrorResponses.toError(failure));
          }
        });
  }

  private void onForwardFailed(
      HttpExchange exchange, Matcher path, long startNanos, SycamoreException error) {
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    if (elapsedMs >= FORWARD_TIMEOUT_MS) {
      exchange.respond(ErrorResponses.response(error));
      return;
    }
    exchange
        .eventLoop()
        .schedule(
            () -> callOwner(exchange, path, startNanos),
            FORWARD_RETRY_DELAY_MS,
            TimeUnit.MILLISECONDS);
  }

  private void handleLocally(HttpExchange exchange, Matcher path) {
    StepId id = id(path);
    switch (exchange.method()) {
      case "PUT" -> open(exchange, id);
      case "DELETE" -> close(exchange, id);
      default -> poll(exchange, id);
    }
  }

  private void open(HttpExchange exchange, StepId id) {
    var spec = StepCodec.parseSpec(id, exchange.body());
    steps.open(spec);
    exchange.respond(HttpResponse.json(200, StepCodec.stepBody(spec)));
  }

  private void close(HttpExchange exchange, StepId id) {
    steps.closePermanently(id);
    exchange.respond(
        HttpResponse.json(200, Json.object().put("track", id.track()).put("step", id.step())));
  }

  private void poll(HttpExchange exchange, StepId id) {
    StepRunner runner =
        steps
            .find(id)
            .orElseThrow(
                () ->
                    new SycamoreException(
                        ErrorCode.STEP_UNKNOWN,
                        ExecutionOutcome.NOT_RUN,
                        "step "
                            + id.step()
                            + " of track "
                            + id.track()
                            + " is not open on this node"));
    byte[] body = exchange.body();
    runner.loop().execute(() -> Router.handleSafely(call -> runner.poll(body, call), exchange));
  }
}
