package org.sycamoretrack.standins.driver;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.standins.history.History;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Objects that trainers and callers share.
 *
 * @param client the HTTP client
 * @param balancer chooses the node for each request
 * @param platform the address of the platform's services
 * @param deployment the deployment, which also defines the simulated network delays
 * @param history records the observations
 */
public record DriverContext(
    HttpClient client,
    Balancer balancer,
    InetSocketAddress platform,
    Deployment deployment,
    History history) {
  private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * Sends a request to a node and waits for the response. The deployment's simulated network delay
   * is added in both directions.
   *
   * @param request the request
   * @param node the node
   * @param zone the client's zone
   * @return the response
   * @throws HttpException if no complete response arrives
   */
  HttpResponse call(HttpRequest request, NodeAddress node, String zone) {
    boolean sameZone = node.zone().equals(zone);
    double delayMs = deployment.clientDelayMs() + (sameZone ? 0 : deployment.zoneDelayMs());
    pause(delayMs);
    HttpResponse response = call(request);
    pause(delayMs);
    return response;
  }

  /**
   * Sends a request and waits for the response.
   *
   * @param request the request
   * @return the response
   * @throws HttpException if no complete response arrives
   */
  public HttpResponse call(HttpRequest request) {
    try {
      return client.call(request).join();
    } catch (CompletionException e) {
      if (e.getCause() instanceof HttpException failure) {
        throw failure;
      }
      throw e;
    }
  }

  /** Sleeps to simulate a delay or to wait before the next call or a retry. */
  static void pause(double ms) {
    try {
      TimeUnit.NANOSECONDS.sleep((long) (ms * NANOS_PER_MS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted during a pause", e);
    }
  }
}
