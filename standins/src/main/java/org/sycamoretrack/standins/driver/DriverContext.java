package org.sycamoretrack.standins.driver;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.standins.history.History;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpFailure;
import org.sycamoretrack.transport.request.HttpRequest;

/**
 * What trainers and callers share.
 *
 * @param client sends their requests
 * @param balancer chooses the nodes
 * @param platform the address of the platform's services
 * @param deployment the deployment, for its delays
 * @param history where observations go
 */
public record DriverContext(
    HttpClient client,
    Balancer balancer,
    InetSocketAddress platform,
    Deployment deployment,
    History history) {
  private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * Sends a request to a node and waits for the answer, with the deployment's delay both ways.
   *
   * @param request the request
   * @param node the node
   * @param zone the client's zone
   * @return the answer
   * @throws HttpFailure when there is no whole answer
   */
  HttpAnswer call(HttpRequest request, NodeAddress node, String zone) {
    boolean near = node.zone().equals(zone);
    double delayMs = deployment.clientDelayMs() + (near ? 0 : deployment.zoneDelayMs());
    pause(delayMs);
    HttpAnswer answer = call(request);
    pause(delayMs);
    return answer;
  }

  /**
   * Sends a request and waits for the answer.
   *
   * @param request the request
   * @return the answer
   * @throws HttpFailure when there is no whole answer
   */
  public HttpAnswer call(HttpRequest request) {
    try {
      return client.call(request).join();
    } catch (CompletionException e) {
      if (e.getCause() instanceof HttpFailure failure) {
        throw failure;
      }
      throw e;
    }
  }

  /** Waits, as the network or a retry does. */
  static void pause(double ms) {
    try {
      TimeUnit.NANOSECONDS.sleep((long) (ms * NANOS_PER_MS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }
}
