package org.sycamoretrack.daemon.process;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;
import org.sycamoretrack.core.process.Membership;
import org.sycamoretrack.core.process.MembershipTimings;
import org.sycamoretrack.core.process.SwimMessage;
import org.sycamoretrack.daemon.connection.PeerCodec;

/**
 * A simulated network of members with a virtual clock, message delay, message loss, partitions and
 * paused nodes.
 */
final class SimulatedNetwork {
  private static final long TICK_MS = 50;
  private static final long STEP_MS = 50;

  final Map<String, Membership> nodes = new TreeMap<>();
  final Map<String, Long> bytesSent = new HashMap<>();
  private final Set<String> paused = new HashSet<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final Random random;
  private final PeerCodec codec = new PeerCodec();
  private BiPredicate<String, String> partition = (from, to) -> false;
  private double lossShare;
  private long eventCount;
  private long nowMs;

  private record Event(long atMs, long number, String from, String to, SwimMessage message) {}

  SimulatedNetwork(long seed) {
    random = new Random(seed);
  }

  long nowMs() {
    return nowMs;
  }

  static Member member(String nodeId, String zone, long epoch) {
    return new Member(nodeId, zone, "svealand", "10.0.0.1:7101", epoch, 0, MemberState.ALIVE, 0);
  }

  void start(String nodeId, String zone, long epoch) {
    nodes.put(
        nodeId,
        new Membership(
            member(nodeId, zone, epoch),
            MembershipTimings.DEFAULT,
            new Random(random.nextLong()),
            nowMs));
    scheduleTick(nodeId);
  }

  /**
   * Starts nodes in three zones, each introduced to the first one, and waits until each sees all
   * others.
   */
  void startAll(int count) {
    for (int i = 0; i < count; i++) {
      start(nodeId(i), zone(i), 1);
      introduce(nodeId(i), nodeId(0));
    }
    runUntil(20_000, () -> nodes.values().stream().allMatch(this::seesAllNodes));
  }

  private boolean seesAllNodes(Membership node) {
    return node.view().alive().size() == nodes.size();
  }

  static String nodeId(int number) {
    return "node-%03d".formatted(number);
  }

  static String zone(int number) {
    return List.of("svea-a", "svea-b", "svea-c").get(number % 3);
  }

  String zoneOf(String nodeId) {
    return nodes.get(nodeId).view().self().zone();
  }

  void introduce(String nodeId, String other) {
    if (!nodeId.equals(other)) {
      send(nodeId, nodes.get(nodeId).onPeerConnected(nodes.get(other).view().self(), nowMs));
    }
  }

  void kill(String nodeId) {
    nodes.remove(nodeId);
  }

  void pause(String nodeId) {
    paused.add(nodeId);
  }

  void resume(String nodeId) {
    paused.remove(nodeId);
  }

  void partition(BiPredicate<String, String> cut) {
    this.partition = cut;
  }

  void setLossShare(double share) {
    lossShare = share;
  }

  void run(long durationMs) {
    runUntil(durationMs, () -> false);
  }

  /**
   * Runs until a condition holds or a maximum time has passed; returns the elapsed virtual time.
   */
  long runUntil(long maxMs, java.util.function.BooleanSupplier condition) {
    long startMs = nowMs;
    while (nowMs < startMs + maxMs && !condition.getAsBoolean()) {
      long endMs = nowMs + STEP_MS;
      while (!events.isEmpty() && events.peek().atMs() <= endMs) {
        nowMs = events.peek().atMs();
        deliver(events.poll());
      }
      nowMs = endMs;
    }
    return nowMs - startMs;
  }

  private void deliver(Event event) {
    Membership node = nodes.get(event.to());
    if (node == null) {
      return;
    }
    if (paused.contains(event.to())) {
      events.add(
          new Event(event.atMs() + 100, event.number(), event.from(), event.to(), event.message()));
    } else if (event.message() == null) {
      send(event.to(), node.onTick(nowMs));
      scheduleTick(event.to());
    } else if (!partition.test(event.from(), event.to())) {
      send(event.to(), node.onMessage(event.from(), event.message(), nowMs));
    }
  }

  private void scheduleTick(String nodeId) {
    events.add(new Event(nowMs + TICK_MS, eventCount++, nodeId, nodeId, null));
  }

  private void send(String from, List<SwimMessage.Envelope> envelopes) {
    for (SwimMessage.Envelope envelope : envelopes) {
      ByteBuf frame =
          codec.encode(UnpooledByteBufAllocator.DEFAULT, new SwimFrame(envelope.message()));
      bytesSent.merge(from, (long) frame.readableBytes(), Long::sum);
      frame.release();
      if (random.nextDouble() >= lossShare) {
        long delayMs = 1 + random.nextLong(5);
        events.add(
            new Event(nowMs + delayMs, eventCount++, from, envelope.to(), envelope.message()));
      }
    }
  }
}
