package org.sycamoretrack.cli.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.sycamoretrack.cli.process.CliContext;
import org.sycamoretrack.cli.process.CliException;
import org.sycamoretrack.cli.process.ExitCode;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Client for the operator API of the nodes.
 *
 * <p>Any node can handle a request. A request is retried on the next node if a node can't be
 * reached, or reports that it did not execute the request because the platform is unavailable or
 * the node is overloaded. A change that may have taken effect is never retried.
 */
public final class OperatorClient {
  private static final int TIMEOUT_MS = 15_000;

  private final CliContext context;
  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param context the addresses of the nodes and the token
   * @param client the HTTP client that sends the requests
   */
  public OperatorClient(CliContext context, HttpClient client) {
    this.context = context;
    this.client = client;
  }

  /** Returns the ids of the nodes in the context. */
  public List<String> nodeIds() {
    return List.copyOf(context.nodes().keySet());
  }

  /**
   * Sends a request to one node.
   *
   * @param nodeId the id of the node
   * @param method the HTTP method
   * @param target the path and query
   * @param body the value to send as JSON, or null
   * @param headers additional headers
   * @return the response, whatever its status
   * @throws HttpException if there is no complete response
   */
  public HttpResponse call(
      String nodeId, String method, String target, Object body, Map<String, String> headers) {
    InetSocketAddress address = context.nodes().get(nodeId);
    if (address == null) {
      throw CliException.usage(
          "the context has no node " + nodeId, "known nodes: " + String.join(", ", nodeIds()));
    }
    HttpRequest.Builder request =
        HttpRequest.builder(method, address, target).timeoutMs(TIMEOUT_MS);
    headers.forEach(request::header);
    if (context.token() != null) {
      request.header("authorization", "Bearer " + context.token());
    }
    if (body != null) {
      request.json(body);
    }
    try {
      return client.call(request.build()).join();
    } catch (CompletionException e) {
      if (e.getCause() instanceof HttpException failure) {
        throw failure;
      }
      throw e;
    }
  }

  /**
   * Sends a request to the first node that handles it.
   *
   * @param method the HTTP method
   * @param target the path and query
   * @param body the value to send as JSON, or null
   * @param headers additional headers
   * @return the response, whatever its status
   * @throws CliException if no node can be reached
   */
  public HttpResponse callAny(
      String method, String target, Object body, Map<String, String> headers) {
    List<String> failures = new ArrayList<>();
    HttpResponse rejection = null;
    for (String nodeId : nodeIds()) {
      try {
        HttpResponse response = call(nodeId, method, target, body, headers);
        if (!isTemporarilyRejected(response)) {
          return response;
        }
        rejection = response;
      } catch (HttpException e) {
        if (e.maybeSent() && !method.equals("GET")) {
          throw new CliException(
              ExitCode.FAILED,
              "unknown",
              nodeId + " sent no complete response and may have made the change: " + e.getMessage(),
              "get the resource to check whether it changed");
        }
        failures.add(nodeId + ": " + e.getMessage());
      }
    }
    if (rejection != null) {
      return rejection;
    }
    throw new CliException(
        ExitCode.UNREACHABLE,
        "peer-unavailable",
        "no node can be reached: " + String.join("; ", failures),
        "check the addresses in the context");
  }

  private static boolean isTemporarilyRejected(HttpResponse response) {
    return response.status() == 503
        && response.json().at("/error/outcome").asText().equals("not-run");
  }

  /**
   * Sends a GET request to the first node that handles it, and returns the JSON body.
   *
   * @param target the path and query
   * @throws CliException if the response is an error
   */
  public JsonNode get(String target) {
    return requireSuccess(callAny("GET", target, null, Map.of()), target);
  }

  /**
   * Returns the JSON body of a successful response.
   *
   * @param response the response
   * @param subject the subject of the request, for the error message
   * @throws CliException if the response is an error
   */
  public static JsonNode requireSuccess(HttpResponse response, String subject) {
    JsonNode body = response.json();
    if (response.status() < 300) {
      return body;
    }
    String code = body.at("/error/code").asText("internal");
    String message =
        subject + ": " + body.at("/error/message").asText("status " + response.status());
    throw new CliException(exitCode(code), code, message, hint(code));
  }

  private static ExitCode exitCode(String code) {
    return code.equals("version-conflict") ? ExitCode.CONFLICT : ExitCode.FAILED;
  }

  private static String hint(String code) {
    return switch (code) {
      case "unauthenticated" -> "set tokenFile in the context to the file with the token";
      case "not-found" -> "get KIND lists the existing resources";
      case "version-conflict" ->
          "get the resource again and apply the change to its current version";
      case "invalid-request" -> "validate -f FILE shows all errors";
      case "platform-unavailable" -> "changes are accepted again when the platform is available";
      case "overloaded" -> "retry later";
      default -> "dump NODE shows the state of a node";
    };
  }
}
