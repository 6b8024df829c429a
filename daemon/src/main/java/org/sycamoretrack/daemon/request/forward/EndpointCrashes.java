package org.sycamoretrack.daemon.request.forward;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.PoisonRequestDetector.Verdict;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.fleet.Fleet;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.client.EndpointClient.Liveness;
import org.sycamoretrack.daemon.client.EndpointClient.PlainRequest;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.request.PoisonGuard;

/**
 * Attributes crashes of endpoints to the plain requests that ran on them, and tells which requests
 * are quarantined for that.
 *
 * <p>An attempt without a response may be a fault of that response alone. Whether its instance of
 * the endpoint crashed is decided by a call to it:
 *
 * <ul>
 *   <li>{@value #CHECK_DELAY_MS} ms after a connection closed early. The instance crashed if it
 *       can't be connected to or if another instance responds. The crash is attributed to all plain
 *       requests that this node had there, including those whose connections closed in the
 *       meantime.
 *   <li>When the instance is no longer listed, up to {@value #LOST_TTL_MS} ms after an attempt was
 *       lost there, be it by an early close or because no response arrived. The instance crashed
 *       unless it responds. This finds instances that fell silent and those that ended later.
 * </ul>
 *
 * <p>An endpoint that is listed and doesn't respond is not a crashed one, since the network between
 * it and this node may be at fault.
 *
 * <p>Items of batches and scoring calls are not attributed: their batch was accepted, so they are
 * run until they have a result, however many endpoints crash meanwhile.
 *
 * <p>Confined to the traffic loop.
 */
final class EndpointCrashes {
  private static final long CHECK_DELAY_MS = 50;

  /** The entry of a crashed instance is removed within some seconds. */
  private static final long LOST_TTL_MS = 10_000;

  private static final long LIST_CHECK_INTERVAL_MS = 500;

  /** Bounds the memory for the lost attempts of an endpoint that stopped responding. */
  private static final int MAX_LOST_PER_INSTANCE = 256;

  private static final System.Logger LOG = System.getLogger(EndpointCrashes.class.getName());

  private final EndpointClient endpoints;
  private final PoisonGuard poison;
  private final EventLoop loop;
  private final Supplier<Fleet> fleet;
  private final Map<String, LostAttempts> lostByInstance = new HashMap<>();
  private boolean listCheckScheduled;

  /** The attempts that an instance didn't respond to. */
  private static final class LostAttempts {
    final Endpoint endpoint;
    final Set<String> fingerprints = new HashSet<>();
    final List<String> closedEarly = new ArrayList<>();
    long latestAtMs;
    boolean checking;
    boolean checkedUnlisted;

    LostAttempts(Endpoint endpoint) {
      this.endpoint = endpoint;
    }

    void add(String fingerprint) {
      latestAtMs = MonotonicClock.nowMs();
      if (fingerprints.size() < MAX_LOST_PER_INSTANCE) {
        fingerprints.add(fingerprint);
      }
    }
  }

  EndpointCrashes(
      EndpointClient endpoints, PoisonGuard poison, EventLoop loop, Supplier<Fleet> fleet) {
    this.endpoints = endpoints;
    this.poison = poison;
    this.loop = loop;
    this.fleet = fleet;
  }

  /** Returns the name of an instance of an endpoint, which may restart under its id. */
  private static String instance(Endpoint endpoint) {
    return endpoint.id() + '@' + endpoint.startedAtMs();
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
    return poison.verdict(fingerprint, instance(endpoint)) == Verdict.RUN;
  }

  void onSent(String fingerprint, Endpoint endpoint) {
    poison.onStart(fingerprint, instance(endpoint));
  }

  /** Called when the endpoint has responded, whatever the status. */
  void onAnswered(String fingerprint, Endpoint endpoint) {
    poison.onSuccess(fingerprint, instance(endpoint));
    lostByInstance.values().forEach(lost -> lost.fingerprints.remove(fingerprint));
  }

  /** Called when the request ended without a response because none was needed any more. */
  void onEnded(String fingerprint, Endpoint endpoint) {
    poison.onEnd(fingerprint, instance(endpoint));
  }

  /** Called when the request ended because no response arrived, without a close. */
  void onSilent(String fingerprint, Endpoint endpoint) {
    poison.onEnd(fingerprint, instance(endpoint));
    lost(endpoint).add(fingerprint);
  }

  /** Called when the connection closed before the response was complete. */
  void onConnectionClosed(String fingerprint, Endpoint endpoint) {
    LostAttempts lost = lost(endpoint);
    lost.add(fingerprint);
    if (lost.closedEarly.isEmpty()) {
      loop.schedule(() -> check(lost), CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
    }
    lost.closedEarly.add(fingerprint);
  }

  private LostAttempts lost(Endpoint endpoint) {
    scheduleListCheck();
    return lostByInstance.computeIfAbsent(
        instance(endpoint), instance -> new LostAttempts(endpoint));
  }

  private void scheduleListCheck() {
    if (!listCheckScheduled) {
      listCheckScheduled = true;
      loop.schedule(
          Failures.periodicTask("lost-attempts", this::checkUnlisted),
          LIST_CHECK_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  private void checkUnlisted() {
    listCheckScheduled = false;
    long nowMs = MonotonicClock.nowMs();
    lostByInstance
        .values()
        .removeIf(lost -> lost.closedEarly.isEmpty() && nowMs >= lost.latestAtMs + LOST_TTL_MS);
    for (LostAttempts lost : List.copyOf(lostByInstance.values())) {
      if (!isListed(lost.endpoint) && !lost.checkedUnlisted) {
        lost.checkedUnlisted = true;
        check(lost);
      }
    }
    if (!lostByInstance.isEmpty()) {
      scheduleListCheck();
    }
  }

  private boolean isListed(Endpoint endpoint) {
    Endpoint listed = fleet.get().find(endpoint.id());
    return listed != null && listed.startedAtMs() == endpoint.startedAtMs();
  }

  private void check(LostAttempts lost) {
    if (lost.checking) {
      return;
    }
    lost.checking = true;
    boolean listed = isListed(lost.endpoint);
    endpoints
        .liveness(lost.endpoint)
        .whenComplete(
            Failures.loggingExceptions(
                (liveness, failure) -> {
                  if (failure != null) {
                    LOG.log(
                        System.Logger.Level.WARNING,
                        LogEvent.of("liveness-unknown")
                            .with("endpoint", lost.endpoint.id())
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  }
                  boolean gone =
                      liveness == Liveness.GONE || (liveness == Liveness.UNKNOWN && !listed);
                  onChecked(lost, gone);
                }));
  }

  private void onChecked(LostAttempts lost, boolean crashed) {
    lost.checking = false;
    List<String> closed = List.copyOf(lost.closedEarly);
    lost.closedEarly.clear();
    if (crashed) {
      lostByInstance.remove(instance(lost.endpoint), lost);
      reportCrash(lost);
    } else {
      closed.forEach(fingerprint -> poison.onEnd(fingerprint, instance(lost.endpoint)));
    }
  }

  private void reportCrash(LostAttempts lost) {
    String instance = instance(lost.endpoint);
    if (lost.endpoint.startedAtMs() > 0) {
      poison.onInstanceCrash(instance, lost.fingerprints);
    } else {
      // Without a start time the name is that of all instances, which may crash one after another.
      poison.onEndpointCrash(instance);
    }
  }
}
