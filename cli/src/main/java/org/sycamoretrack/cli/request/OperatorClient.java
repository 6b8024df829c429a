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
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpFailure;
import org.sycamoretrack.transport.request.HttpRequest;

/**
 * Calls on the operator ports of the nodes.
 *
 * <p>Any node can answer. A call goes to the next node when one can't be reached, or says that it
 * did not run the call for want of its platform or capacity; never when it may have taken effect.
 */
public final class OperatorClient {
  private static final int TIMEOUT_MS = 15_000;

  private final CliContext context;
  private final HttpClient client;

  /**
   * Creates the calls of one command.
   *
   * @param context the nodes
   * @param client sends the requests
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
   * Sends a call to one node.
   *
   * @param nodeId the node
   * @param method the method
   * @param target path and query
   * @param body what is sent as JSON, or null
   * @param headers further headers
   * @return the answer, whatever its status
   * @throws HttpFailure when there is none
   */
  public HttpAnswer call(
      String nodeId, String method, String target, Object body, Map<String, String> headers) {
    InetSocketAddress address = context.nodes().get(nodeId);
    if (address == null) {
      throw CliException.usage(
          "the context has no node " + nodeId, "it has " + String.join(", ", nodeIds()));
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
      if (e.getCause() instanceof HttpFailure failure) {
        throw failure;
      }
      throw e;
    }
  }

  /**
   * Sends a call to the first node that answers it.
   *
   * @param method the method
   * @param target path and query
   * @param body what is sent as JSON, or null
   * @param headers further headers
   * @return the answer, whatever its status
   * @throws CliException when no node can be reached
   */
  public HttpAnswer callAny(
      String method, String target, Object body, Map<String, String> headers) {
    List<String> problems = new ArrayList<>();
    HttpAnswer refusal = null;
    for (String nodeId : nodeIds()) {
      try {
        HttpAnswer answer = call(nodeId, method, target, body, headers);
        if (!isTemporarilyRefused(answer)) {
          return answer;
        }
        refusal = answer;
      } catch (HttpFailure e) {
        if (e.maybeSent() && !method.equals("GET")) {
          throw new CliException(
              ExitCode.FAILED,
              "unknown",
              nodeId + " did not answer and may have made the change: " + e.getMessage(),
              "get the resource and see");
        }
        problems.add(nodeId + ": " + e.getMessage());
      }
    }
    if (refusal != null) {
      return refusal;
    }
    throw new CliException(
        ExitCode.UNREACHABLE,
        "peer-unavailable",
        "no node can be reached: " + String.join("; ", problems),
        "check the addresses in the context");
  }

  private static boolean isTemporarilyRefused(HttpAnswer answer) {
    return answer.status() == 503 && answer.json().at("/error/outcome").asText().equals("not-run");
  }

  /**
   * Reads JSON from the first node that answers.
   *
   * @param target path and query
   * @throws CliException when the answer is an error
   */
  public JsonNode get(String target) {
    return requireSuccess(callAny("GET", target, null, Map.of()), target);
  }

  /**
   * Returns the body of an answer that is no error.
   *
   * @param answer the answer
   * @param subject what the call was about, for the message
   * @throws CliException when it is an error
   */
  public static JsonNode requireSuccess(HttpAnswer answer, String subject) {
    JsonNode body = answer.json();
    if (answer.status() < 300) {
      return body;
    }
    String code = body.at("/error/code").asText("internal");
    String message = subject + ": " + body.at("/error/message").asText("status " + answer.status());
    throw new CliException(exitCode(code), code, message, hint(code));
  }

  private static ExitCode exitCode(String code) {
    return code.equals("version-conflict") ? ExitCode.CONFLICT : ExitCode.FAILED;
  }

  private static String hint(String code) {
    return switch (code) {
      case "unauthenticated" -> "name the token's file in the context as tokenFile";
      case "not-found" -> "get lists what there is";
      case "version-conflict" -> "get the resource again, and apply the change to that";
      case "invalid-request" -> "validate -f FILE shows all mistakes";
      case "platform-unavailable" -> "changes are accepted again when the platform is back";
      case "overloaded" -> "send it again a little later";
      default -> "dump NODE shows the state of a node";
    };
  }
}
