package org.sycamoretrack.core.version.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.sycamoretrack.core.version.capacity.CapacityInput.PoolCount;
import org.sycamoretrack.core.version.capacity.CapacityRecord.Outcome;
import org.sycamoretrack.core.version.routing.ScalingTerms;

/**
 * The endpoints of a service under a simulated control service: orders, boots, reclaims and crashes
 * by a fixed seed, so that all policies meet the same faults.
 */
final class SimulatedCloud {
  static final long NOTICE_MS = 2_500;
  private static final long RECLAIM_INTERVAL_MS = 1_200_000;
  private static final long CRASH_INTERVAL_MS = 2_400_000;
  private static final long SHORTAGE_MS = 90_000;
  private static final long LATE_MS = 3_000;

  /** An endpoint. */
  static final class Server {
    final CapacityPool pool;
    final long servesAtMs;
    boolean draining;
    boolean reclaimed;
    long endsAtMs = Long.MAX_VALUE;
    int running;

    Server(CapacityPool pool, long servesAtMs) {
      this.pool = pool;
      this.servesAtMs = servesAtMs;
    }

    boolean mayStart(long nowMs) {
      return nowMs >= servesAtMs && !draining;
    }
  }

  private record LateOrder(long atMs, CapacityPool pool, int number) {}

  private final ScalingTerms terms;
  private final Random faults;
  private final Random responses;
  private final List<Server> servers = new ArrayList<>();
  private final List<LateOrder> lateOrders = new ArrayList<>();
  private final Map<CapacityPool, Long> shortUntilMs = new HashMap<>();
  private long nextReclaimMs = RECLAIM_INTERVAL_MS / 2;
  private long nextCrashMs = CRASH_INTERVAL_MS / 2;
  double endpointSeconds;
  double price;
  int orders;

  SimulatedCloud(ScalingTerms terms, Map<CapacityPool, Integer> initial, long seed) {
    this.terms = terms;
    this.faults = new Random(seed);
    this.responses = new Random(seed + 1);
    initial.forEach(
        (pool, number) -> {
          for (int i = 0; i < number; i++) {
            servers.add(new Server(pool, 0));
          }
        });
  }

  List<Server> servers() {
    return servers;
  }

  /** Advances by one tick and returns the endpoints that have ended. */
  List<Server> tick(long nowMs, long tickMs) {
    if (nowMs >= nextReclaimMs) {
      nextReclaimMs += RECLAIM_INTERVAL_MS / 2 + faults.nextLong(RECLAIM_INTERVAL_MS);
      List<String> zones = List.copyOf(new TreeMap<>(terms.zonePrices()).keySet());
      CapacityPool pool =
          new CapacityPool(zones.get(faults.nextInt(zones.size())), EndpointKind.SPOT);
      shortUntilMs.put(pool, nowMs + faults.nextLong(SHORTAGE_MS));
      servers.stream()
          .filter(server -> server.pool.equals(pool))
          .forEach(server -> drain(server, nowMs, true));
    }
    if (nowMs >= nextCrashMs) {
      nextCrashMs += CRASH_INTERVAL_MS / 2 + faults.nextLong(CRASH_INTERVAL_MS);
      servers.get(faults.nextInt(servers.size())).endsAtMs = nowMs;
    }
    lateOrders.stream()
        .filter(order -> order.atMs <= nowMs)
        .toList()
        .forEach(
            order -> {
              lateOrders.remove(order);
              apply(order.pool, order.number, nowMs);
            });
    for (Server server : servers) {
      endpointSeconds += tickMs / 1_000.0;
      price += tickMs / 1_000.0 * price(server.pool);
      if (server.draining && !server.reclaimed && server.running == 0) {
        server.endsAtMs = nowMs;
      }
    }
    List<Server> ended = servers.stream().filter(server -> server.endsAtMs <= nowMs).toList();
    servers.removeAll(ended);
    return ended;
  }

  private double price(CapacityPool pool) {
    double zonePrice = terms.zonePrices().get(pool.zone());
    return pool.kind() == EndpointKind.SPOT ? zonePrice * terms.spotPrice() : zonePrice;
  }

  private static void drain(Server server, long nowMs, boolean reclaimed) {
    server.draining = true;
    server.reclaimed = reclaimed;
    server.endsAtMs = reclaimed ? nowMs + NOTICE_MS : server.endsAtMs;
  }

  /** Sets the number of endpoints of a pool, unless the order is rejected, lost or late. */
  Outcome order(CapacityPool pool, int number, long nowMs) {
    orders++;
    if (number > count(pool) && nowMs < shortUntilMs.getOrDefault(pool, 0L)) {
      return Outcome.UNAVAILABLE;
    }
    int fate = responses.nextInt(100);
    if (fate < 2) {
      return Outcome.UNKNOWN;
    }
    if (fate < 4) {
      lateOrders.add(new LateOrder(nowMs + LATE_MS, pool, number));
      return Outcome.UNKNOWN;
    }
    apply(pool, number, nowMs);
    return Outcome.ACCEPTED;
  }

  private int count(CapacityPool pool) {
    return (int) servers.stream().filter(each -> each.pool.equals(pool) && !each.draining).count();
  }

  private void apply(CapacityPool pool, int number, long nowMs) {
    for (int present = count(pool); present < number; present++) {
      boolean slow = responses.nextInt(10) == 0;
      servers.add(new Server(pool, nowMs + terms.bootMs() * (slow ? 17 : 10) / 10));
    }
    List<Server> present =
        servers.stream().filter(each -> each.pool.equals(pool) && !each.draining).toList();
    for (int i = number; i < present.size(); i++) {
      drain(present.get(i), nowMs, false);
    }
  }

  /** Returns the listed endpoints by pool; booting ones aren't listed. */
  Map<CapacityPool, PoolCount> listed(long nowMs) {
    Map<CapacityPool, PoolCount> counts = new TreeMap<>();
    for (Server server : servers) {
      if (nowMs >= server.servesAtMs) {
        counts.merge(
            server.pool,
            new PoolCount(
                server.draining ? 0 : 1, server.draining ? 1 : 0, server.reclaimed ? 1 : 0),
            PoolCount::plus);
      }
    }
    return counts;
  }
}
