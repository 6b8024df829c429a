package org.sycamoretrack.daemon.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.daemon.process.NodeLimits;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/** Forwards calls of the caller port to plain services. */
final class ServiceApi {
  /** The pattern of service paths: the name of the service and the path that is forwarded. */
  static final String PATH = "/services/([^/]+)(/.*)?";

  private static final Pattern PATTERN = Pattern.compile(PATH);

  /** Headers of the connection or of this API, which are not forwarded. */
  private static final Set<String> EXCLUDED_HEADERS =
      Set.of(
          "host",
          "connection",
          "keep-alive",
          "transfer-encoding",
          "content-length",
          "te",
          "trailer",
          "upgrade",
          "expect",
          "x-deadline-ms",
          "x-request-id",
          "x-attempt");

  private final ServiceCaller caller;
  private final Supplier<Configuration> configuration;
  private final NodeLimits limits;

  ServiceApi(ServiceCaller caller, Supplier<Configuration> configuration, NodeLimits limits) {
    this.caller = caller;
    this.configuration = configuration;
    this.limits = limits;
  }

  /** Returns the name of the service in the path of a call. */
  static String serviceOf(HttpExchange exchange) {
    return match(exchange).group(1);
  }

  private static Matcher match(HttpExchange exchange) {
    Matcher matcher = PATTERN.matcher(exchange.path());
    if (!matcher.matches()) {
      throw new SycamoreException(
          ErrorCode.NOT_FOUND, ExecutionOutcome.NOT_RUN, "no such path: " + exchange.path());
    }
    return matcher;
  }

  /**
   * Forwards a call to an endpoint.
   *
   * @param exchange the call; this method does not respond to it
   * @param claimed whether the call holds a claim, so that it must not be repeated
   * @return the endpoint's response
   */
  CompletableFuture<HttpResponse> run(HttpExchange exchange, boolean claimed) {
    Matcher path = match(exchange);
    ResourceSpec.ServiceSpec service = configuration.get().services().get(path.group(1));
    if (service == null) {
      throw new SycamoreException(
          ErrorCode.NOT_FOUND, ExecutionOutcome.NOT_RUN, "no service " + path.group(1));
    }
    HttpHeaders headers = exchange.headers();
    long deadlineMs = CompletionApi.deadlineMs(headers, limits.defaultDeadlineMs());
    ServiceCall call =
        new ServiceCall(
            CompletionApi.requestId(headers),
            service.pool(),
            exchange.method(),
            target(exchange, path),
            forwardedHeaders(headers),
            exchange.body(),
            !claimed && service.repeatableMethods().contains(exchange.method()),
            System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMs));
    return caller.call(call).thenApply(ServiceApi::withoutConnectionHeaders);
  }

  private static String target(HttpExchange exchange, Matcher path) {
    String rest = path.group(2) == null ? "/" : path.group(2);
    int query = exchange.target().indexOf('?');
    return query < 0 ? rest : rest + exchange.target().substring(query);
  }

  private static Map<String, String> forwardedHeaders(HttpHeaders headers) {
    Map<String, String> result = new HashMap<>();
    headers.forEach(
        header -> {
          String name = header.getKey().toLowerCase(Locale.ROOT);
          if (!EXCLUDED_HEADERS.contains(name)) {
            result.put(name, header.getValue());
          }
        });
    return result;
  }

  private static HttpResponse withoutConnectionHeaders(HttpResponse response) {
    Map<String, String> headers = new HashMap<>(response.headers());
    headers.keySet().removeAll(EXCLUDED_HEADERS);
    return new HttpResponse(response.status(), headers, response.body());
  }
}
