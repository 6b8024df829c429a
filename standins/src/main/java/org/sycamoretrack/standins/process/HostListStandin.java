package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * A host list in which each change becomes visible after a delay of {@code lagMs}.
 *
 * <p>Every change creates a new immutable snapshot; readers get the newest snapshot that is at
 * least as old as the lag. {@code PUT /hosts/{id}} and {@code DELETE /hosts/{id}} change the list;
 * {@code PUT /host-lag} with {@code {"lagMs"}} sets the lag.
 */
public final class HostListStandin {
  /** The content of the list since a point in time. */
  private record Snapshot(long sinceMs, List<Host> hosts) {}

  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private int lagMs;

  HostListStandin(int lagMs) {
    this.lagMs = lagMs;
    snapshots.add(new Snapshot(0, List.of()));
  }

  /**
   * Adds or replaces a host.
   *
   * @param host the host
   */
  public synchronized void put(Host host) {
    hosts.put(host.hostId(), host);
    addSnapshot();
  }

  /**
   * Removes a host.
   *
   * @param hostId the id of the host
   */
  public synchronized void remove(String hostId) {
    hosts.remove(hostId);
    addSnapshot();
  }

  /**
   * Sets the delay after which changes become visible.
   *
   * @param lagMs milliseconds
   */
  public synchronized void setLagMs(int lagMs) {
    this.lagMs = lagMs;
  }

  private void addSnapshot() {
    snapshots.add(new Snapshot(System.currentTimeMillis(), List.copyOf(hosts.values())));
  }

  private synchronized HttpResponse list() {
    long asOfMs = System.currentTimeMillis() - lagMs;
    Snapshot visible = snapshots.removeFirst();
    while (!snapshots.isEmpty() && snapshots.peekFirst().sinceMs() <= asOfMs) {
      visible = snapshots.removeFirst();
    }
    snapshots.addFirst(visible);
    return HttpResponse.json(200, Map.of("asOfMs", asOfMs, "hosts", visible.hosts()));
  }

  /** Handles a request to {@code /hosts} or {@code /host-lag}. */
  HttpResponse handle(HttpExchange exchange, String[] segments) {
    JsonNode body = HttpUtils.body(exchange);
    if (segments[0].equals("host-lag")) {
      setLagMs(body.path("lagMs").asInt());
    } else if (segments.length == 1) {
      return list();
    } else if (exchange.method().equals("DELETE")) {
      remove(segments[1]);
    } else {
      put(Json.mapper().convertValue(body, Host.class));
    }
    return HttpResponse.json(200, Map.of());
  }
}
