package org.sycamoretrack.daemon.request.forward;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.PoisonRequestDetector.Verdict;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.client.EndpointClient.PlainRequest;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.request.PoisonGuard;

/**
 * Attributes crashes of endpoints to the plain requests that ran on them, and tells which requests
 * are quarantined for that.
 *
 * <p>A connection that closes before the response is complete may be a fault of that response
 * alone. The endpoint is therefore called {@value #CHECK_DELAY_MS} ms after the first such close:
 * if it can't be connected to, it crashed, and the crash is attributed to all plain requests that
 * this node had there, including those whose connections closed in the meantime.
 *
 * <p>Items of batches and scoring calls are not attributed: their batch was accepted, so they are
 * run until they have a result, however many endpoints crash meanwhile.
 *
 * <p>Confined to the traffic loop.
 */
final class EndpointCrashes {
  private static final long CHECK_DELAY_MS = 50;

  private final EndpointClient endpoints;
  private final PoisonGuard poison;
  private final EventLoop loop;
  private final Map<String, List<String>> closedEarly = new HashMap<>();

  EndpointCrashes(EndpointClient endpoints, PoisonGuard poison, EventLoop loop) {
    this.endpoints = endpoints;
    this.poison = poison;
    this.loop = loop;
  }

  /** Returns the fingerprint by which requests with the same method, path and body are known. */
  static String fingerprint(PlainRequest request) {
    MessageDigest digest;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
    String head = request.method() + ' ' + request.host() + request.target() + '\n';
    digest.update(head.getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(digest.digest(request.body()), 0, 16);
  }

  /** Returns how much longer a request must not be sent, in milliseconds; 0 if it may be sent. */
  long quarantineRemainingMs(String fingerprint) {
    return poison.quarantineRemainingMs(fingerprint);
  }

  /** Returns whether a request may be sent to an endpoint now. */
  boolean maySend(String fingerprint, Endpoint endpoint) {
    return poison.verdict(fingerprint, endpoint.id()) == Verdict.RUN;
  }

  void onSent(String fingerprint, Endpoint endpoint) {
    poison.onStart(fingerprint, endpoint.id());
  }

  /** Called when the endpoint has responded, whatever the status. */
  void onAnswered(String fingerprint, Endpoint endpoint) {
    poison.onSuccess(fingerprint, endpoint.id());
  }

  /** Called when the request ended without a response and without a close by the endpoint. */
  void onEnded(String fingerprint, Endpoint endpoint) {
    poison.onEnd(fingerprint, endpoint.id());
  }

  /** Called when the connection closed before the response was complete. */
  void onConnectionClosed(String fingerprint, Endpoint endpoint) {
    List<String> closed = closedEarly.get(endpoint.id());
    if (closed == null) {
      closed = new ArrayList<>();
      closedEarly.put(endpoint.id(), closed);
      loop.schedule(() -> check(endpoint), CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
    }
    closed.add(fingerprint);
  }

  private void check(Endpoint endpoint) {
    endpoints
        .weightReport(endpoint)
        .whenComplete(
            Failures.loggingExceptions(
                (report, failure) ->
                    onChecked(
                        endpoint,
                        failure != null && Failures.outcome(failure) == ExecutionOutcome.NOT_RUN)));
  }

  private void onChecked(Endpoint endpoint, boolean crashed) {
    List<String> closed = closedEarly.remove(endpoint.id());
    if (crashed) {
      poison.onEndpointCrash(endpoint.id());
    } else {
      closed.forEach(fingerprint -> poison.onEnd(fingerprint, endpoint.id()));
    }
  }
}
