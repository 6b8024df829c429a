package org.sycamoretrack.daemon.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpHandler;

/**
 * Dispatches calls to handlers by path and method.
 *
 * <p>Paths are matched in the order in which they were added. An unknown path gets a response with
 * status 404, an unsupported method one with status 405. An exception thrown by a handler is
 * converted to an error response.
 */
public final class Router implements HttpHandler {
  private final List<Entry> entries = new ArrayList<>();

  /** Creates a router without routes. */
  public Router() {}

  /** Handles a call whose path has matched. */
  @FunctionalInterface
  public interface PathHandler {
    /**
     * Handles a call.
     *
     * @param exchange the call
     * @param path the match of the path's pattern, with its groups
     */
    void handle(HttpExchange exchange, Matcher path);
  }

  private record Entry(Pattern path, Map<String, PathHandler> handlers) {}

  /**
   * Adds a path.
   *
   * @param pattern regular expression for the whole path
   * @param handlers the handlers by method; {@code *} matches any other method
   * @return this router
   */
  public Router route(String pattern, Map<String, PathHandler> handlers) {
    entries.add(new Entry(Pattern.compile(pattern), Map.copyOf(handlers)));
    return this;
  }

  @Override
  public void handle(HttpExchange exchange) {
    handleSafely(this::dispatch, exchange);
  }

  /** Calls a handler and converts an exception that it throws to an error response. */
  static void handleSafely(HttpHandler handler, HttpExchange exchange) {
    try {
      handler.handle(exchange);
    } catch (RuntimeException e) {
      SycamoreException error = ErrorResponses.toError(e);
      if (error.code() == ErrorCode.INTERNAL) {
        System.getLogger(Router.class.getName())
            .log(System.Logger.Level.ERROR, "handler-failed", e);
      }
      exchange.respond(ErrorResponses.response(error));
    }
  }

  private void dispatch(HttpExchange exchange) {
    String path = exchange.path();
    for (Entry entry : entries) {
      Matcher matcher = entry.path().matcher(path);
      if (matcher.matches()) {
        PathHandler handler = entry.handlers().get(exchange.method());
        if (handler == null) {
          handler = entry.handlers().get("*");
        }
        if (handler == null) {
          throw notOffered(
              ErrorCode.METHOD_NOT_ALLOWED, path + " does not offer " + exchange.method());
        }
        handler.handle(exchange, matcher);
        return;
      }
    }
    throw notOffered(ErrorCode.NOT_FOUND, "no such path: " + path);
  }

  private static SycamoreException notOffered(ErrorCode code, String message) {
    return new SycamoreException(code, ExecutionOutcome.NOT_RUN, message);
  }
}
