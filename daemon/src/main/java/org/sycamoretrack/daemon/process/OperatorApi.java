package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.request.ErrorResponses;
import org.sycamoretrack.daemon.version.ConfigurationService;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpHandler;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Handles the requests on the operator port.
 *
 * <p>Requests other than {@code /healthz} and {@code /readyz} require the bearer token if one is
 * configured. It is compared in constant time, so that it can't be guessed byte by byte from
 * response times.
 */
public final class OperatorApi implements HttpHandler {
  private static final String BEARER = "Bearer ";
  private static final String RESOURCES = "/v1/resources/";
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final ResourceApi resources;
  private final byte[] token;
  private final Supplier<String> metrics;
  private final BooleanSupplier ready;
  private final List<StateSource> stateSources = new CopyOnWriteArrayList<>();

  private OperatorApi(Builder builder) {
    this.resources = new ResourceApi(Objects.requireNonNull(builder.configuration));
    this.token = builder.token == null ? null : builder.token.getBytes(StandardCharsets.UTF_8);
    this.metrics = Objects.requireNonNull(builder.metrics);
    this.ready = Objects.requireNonNull(builder.ready);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Adds a section to the state dump.
   *
   * @param source the source of the section
   */
  public void register(StateSource source) {
    stateSources.add(source);
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      route(exchange);
    } catch (SycamoreException e) {
      exchange.respond(ErrorResponses.response(e));
    }
  }

  private void route(HttpExchange exchange) {
    String path = exchange.path();
    switch (path) {
      case "/healthz" -> respondToGet(exchange, () -> HttpResponse.json(200, status("ok")));
      case "/readyz" -> respondToGet(exchange, this::readiness);
      default -> {
        authenticate(exchange);
        routeAuthenticated(exchange, path);
      }
    }
  }

  private void routeAuthenticated(HttpExchange exchange, String path) {
    switch (path) {
      case "/metrics" ->
          respondToGet(exchange, () -> HttpResponse.text(200, METRICS_TYPE, metrics.get()));
      case "/state" -> respondToGet(exchange, () -> HttpResponse.json(200, state()));
      case "/v1/configuration" -> respondToGet(exchange, resources::configuration);
      case "/v1/validate" -> validate(exchange);
      default -> {
        if (!path.startsWith(RESOURCES)) {
          throw notFound("no resource at path " + path);
        }
        resources.handle(exchange, path.substring(RESOURCES.length()));
      }
    }
  }

  private void validate(HttpExchange exchange) {
    if (!exchange.method().equals("POST")) {
      throw methodNotAllowed(exchange.method());
    }
    exchange.respond(resources.validate(exchange.body()));
  }

  private static void respondToGet(HttpExchange exchange, Supplier<HttpResponse> response) {
    if (!exchange.method().equals("GET")) {
      throw methodNotAllowed(exchange.method());
    }
    exchange.respond(response.get());
  }

  private HttpResponse readiness() {
    boolean isReady = ready.getAsBoolean();
    return HttpResponse.json(isReady ? 200 : 503, status(isReady ? "ready" : "not-ready"));
  }

  private static ObjectNode status(String status) {
    return Json.object().put("status", status);
  }

  private ObjectNode state() {
    ObjectNode state = Json.object();
    for (StateSource source : stateSources) {
      state.set(source.name(), source.state());
    }
    return state;
  }

  private void authenticate(HttpExchange exchange) {
    if (token == null) {
      return;
    }
    String header = exchange.headers().get("authorization", "");
    String given = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    if (!MessageDigest.isEqual(token, given.getBytes(StandardCharsets.UTF_8))) {
      throw new SycamoreException(
          ErrorCode.UNAUTHENTICATED, ExecutionOutcome.NOT_RUN, "a valid bearer token is required");
    }
  }

  static SycamoreException notFound(String message) {
    return new SycamoreException(ErrorCode.NOT_FOUND, ExecutionOutcome.NOT_RUN, message);
  }

  static SycamoreException methodNotAllowed(String method) {
    return new SycamoreException(
        ErrorCode.METHOD_NOT_ALLOWED,
        ExecutionOutcome.NOT_RUN,
        method + " is not supported for this path");
  }

  static SycamoreException invalid(String message) {
    return new SycamoreException(ErrorCode.INVALID_REQUEST, ExecutionOutcome.NOT_RUN, message);
  }

  /** Builds an {@link OperatorApi}. */
  public static final class Builder {
    private ConfigurationService configuration;
    private String token;
    private Supplier<String> metrics = () -> "";
    private BooleanSupplier ready = () -> true;

    private Builder() {}

    /**
     * Sets the configuration service.
     *
     * @param configuration the service
     * @return this builder
     */
    public Builder configuration(ConfigurationService configuration) {
      this.configuration = configuration;
      return this;
    }

    /**
     * Sets the bearer token for operators.
     *
     * @param token the token, or null if none is required
     * @return this builder
     */
    public Builder token(String token) {
      this.token = token;
      return this;
    }

    /**
     * Sets the source of metrics.
     *
     * @param metrics returns them as Prometheus text; called on an event loop
     * @return this builder
     */
    public Builder metrics(Supplier<String> metrics) {
      this.metrics = metrics;
      return this;
    }

    /**
     * Sets the source of readiness.
     *
     * @param ready returns whether the node accepts new work
     * @return this builder
     */
    public Builder ready(BooleanSupplier ready) {
      this.ready = ready;
      return this;
    }

    /** Builds the handler. */
    public OperatorApi build() {
      return new OperatorApi(this);
    }
  }
}
