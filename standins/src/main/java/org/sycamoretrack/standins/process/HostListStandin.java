package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpExchange;

/**
 * A host list that shows each change {@code lagMs} late.
 *
 * <p>Every change makes a new immutable list; readers get the newest list that is at least as old
 * as the lag. {@code PUT /hosts/{id}} and {@code DELETE /hosts/{id}} change it, {@code PUT
 * /host-lag} with {@code {"lagMs"}} sets the lag.
 */
public final class HostListStandin {
  /** The list as it was from a time on. */
  private record Snapshot(long sinceMs, List<Host> hosts) {}

  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private int lagMs;

  HostListStandin(int lagMs) {
    this.lagMs = lagMs;
    snapshots.add(new Snapshot(0, List.of()));
  }

  /**
   * Adds or changes a host.
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
   * @param hostId its id
   */
  public synchronized void remove(String hostId) {
    hosts.remove(hostId);
    addSnapshot();
  }

  /**
   * Sets how late changes are shown.
   *
   * @param lagMs milliseconds
   */
  public synchronized void setLagMs(int lagMs) {
    this.lagMs = lagMs;
  }

  private void addSnapshot() {
    snapshots.add(new Snapshot(System.currentTimeMillis(), List.copyOf(hosts.values())));
  }

  private synchronized HttpAnswer list() {
    long asOfMs = System.currentTimeMillis() - lagMs;
    Snapshot shown = snapshots.removeFirst();
    while (!snapshots.isEmpty() && snapshots.peekFirst().sinceMs() <= asOfMs) {
      shown = snapshots.removeFirst();
    }
    snapshots.addFirst(shown);
    return HttpAnswer.json(200, Map.of("asOfMs", asOfMs, "hosts", shown.hosts()));
  }

  /** Answers a request under {@code /hosts} or {@code /host-lag}. */
  HttpAnswer handle(HttpExchange exchange, String[] segments) {
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
    return HttpAnswer.json(200, Map.of());
  }
}
