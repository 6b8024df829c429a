package org.sycamoretrack.daemon.process.storebacked;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.PathSwitch;
import org.sycamoretrack.core.process.RelayPeers;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Changes;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.process.Addresses;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.process.storebacked.StoreMessage.Call;
import org.sycamoretrack.daemon.process.storebacked.StoreMessage.Reply;
import org.sycamoretrack.daemon.process.storebacked.StoreMessage.Result;

/**
 * Relays store calls between peers, in both roles: executes calls for a peer that can't reach the
 * store, and sends calls to a peer when this node can't.
 *
 * <p>Peers are dialled only while the store can't be reached, so that no connections are open in
 * normal operation; {@link RelayPeers} selects them. A peer that can't reach the store replies with
 * an error at once, and the call goes to the next peer.
 *
 * <p>Thread-safe.
 */
final class StoreRelay {
  /** A connection in both directions takes a few round trips. */
  private static final long CONNECT_WAIT_MS = 40;

  private static final int MAX_CONNECT_WAITS = 5;

  /** The store call that the peer makes takes up to 1.5 s. */
  private static final long CALL_TIMEOUT_MS = 1_800;

  /**
   * How long connections to peers stay open after the store is reachable again, in case it becomes
   * unreachable once more.
   */
  private static final long PEER_LINGER_MS = 5_000;

  private static final System.Logger LOG = System.getLogger(StoreRelay.class.getName());

  private final PeerLink link;
  private final PartitionedStore store;
  private final PathSwitch path;
  private final EventLoop loop;
  private final Map<Long, PendingCall> pendingCalls = new ConcurrentHashMap<>();
  private final RelayPeers peers;
  private final Map<String, InetSocketAddress> dialled = new ConcurrentHashMap<>();
  private final AtomicLong lastCallId = new AtomicLong();

  /**
   * Creates a relay.
   *
   * @param link the connections to peers
   * @param store the store that is called directly on behalf of peers
   * @param path tracks whether the direct path works
   * @param peers selects the peers
   * @param loop runs the timeouts
   */
  StoreRelay(
      PeerLink link, PartitionedStore store, PathSwitch path, RelayPeers peers, EventLoop loop) {
    this.link = link;
    this.store = store;
    this.path = path;
    this.peers = peers;
    this.loop = loop;
    link.onMessage(Call.TYPE, Call::read, this::onCall);
    link.onMessage(Reply.TYPE, Reply::read, (from, reply) -> onReply(reply));
    link.onInboundConnected(peer -> link.dial(Addresses.parse(peer.address())));
  }

  /** A call that is being relayed, and the peers that it was sent to. */
  private static final class PendingCall {
    private final LongFunction<Call> call;
    private final CompletableFuture<Reply> reply = new CompletableFuture<>();
    private final Set<String> tried = ConcurrentHashMap.newKeySet();
    private volatile String peer;

    private PendingCall(LongFunction<Call> call) {
      this.call = call;
    }
  }

  /**
   * Connects to the selected peers. Connections to peers that were selected before stay open: the
   * same connection may carry the calls of the peer, and shows that the peer is reachable.
   */
  void connectPeers() {
    for (RelayPeers.Peer peer : peers.select(MonotonicClock.nowMs())) {
      InetSocketAddress address = Addresses.parse(peer.address());
      if (dialled.putIfAbsent(peer.nodeId(), address) == null) {
        link.dial(address);
      }
    }
  }

  /**
   * Returns whether a peer of another zone is reachable. Peers are connected only while the store
   * can't be reached, so this is known only then.
   */
  boolean isOtherZoneReachable() {
    long nowMs = MonotonicClock.nowMs();
    dialled.keySet().stream()
        .filter(link::isConnectedBothWays)
        .forEach(nodeId -> peers.onHeard(nodeId, nowMs));
    return peers.isOtherZoneHeard(nowMs);
  }

  /** Closes the connections to peers after a delay, unless they are needed again by then. */
  void schedulePeerDisconnect() {
    loop.schedule(
        () -> {
          if (path.isDirect()) {
            peers.reset();
            dialled.values().forEach(link::stopDialling);
            dialled.clear();
          }
        },
        PEER_LINGER_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a call to a peer, and to further peers while they report that they haven't executed it.
   *
   * @param call creates the call with a given id
   * @return the reply; fails with {@code NOT_RUN} if no peer has executed the call
   */
  CompletionStage<Reply> send(LongFunction<Call> call) {
    PendingCall pending = new PendingCall(call);
    sendToNextPeer(pending, "no peer is connected", MAX_CONNECT_WAITS);
    return pending.reply;
  }

  private void sendToNextPeer(PendingCall pending, String lastReason, int waitsLeft) {
    connectPeers();
    List<String> untried =
        peers.select(MonotonicClock.nowMs()).stream()
            .map(RelayPeers.Peer::nodeId)
            .filter(id -> !pending.tried.contains(id))
            .toList();
    Optional<String> peer = untried.stream().filter(link::isConnectedBothWays).findFirst();
    if (peer.isEmpty()) {
      if (!untried.isEmpty() && waitsLeft > 0) {
        loop.schedule(
            () -> sendToNextPeer(pending, lastReason, waitsLeft - 1),
            CONNECT_WAIT_MS,
            TimeUnit.MILLISECONDS);
        return;
      }
      pending.reply.completeExceptionally(failure(ExecutionOutcome.NOT_RUN, lastReason));
      return;
    }
    pending.peer = peer.get();
    pending.tried.add(pending.peer);
    long id = lastCallId.incrementAndGet();
    pendingCalls.put(id, pending);
    if (link.send(pending.peer, pending.call.apply(id))) {
      loop.schedule(() -> onTimeout(id), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } else if (pendingCalls.remove(id) != null) {
      onPeerFailed(pending, "the call could not be sent to the peer");
    }
  }

  private void onPeerFailed(PendingCall pending, String reason) {
    peers.onUnavailable(pending.peer, MonotonicClock.nowMs());
    sendToNextPeer(pending, reason, MAX_CONNECT_WAITS);
  }

  private void onTimeout(long id) {
    PendingCall pending = pendingCalls.remove(id);
    if (pending != null) {
      peers.onUnavailable(pending.peer, MonotonicClock.nowMs());
      pending.reply.completeExceptionally(
          failure(ExecutionOutcome.UNKNOWN, "the peer did not reply in time"));
    }
  }

  private void onReply(Reply reply) {
    PendingCall pending = pendingCalls.remove(reply.id());
    if (pending == null) {
      return;
    }
    peers.onHeard(pending.peer, MonotonicClock.nowMs());
    if (reply.result() != Result.FAILED) {
      peers.onAvailable(pending.peer);
      pending.reply.complete(reply);
    } else if (reply.outcome() == ExecutionOutcome.NOT_RUN) {
      onPeerFailed(pending, reply.message());
    } else {
      peers.onUnavailable(pending.peer, MonotonicClock.nowMs());
      pending.reply.completeExceptionally(failure(reply.outcome(), reply.message()));
    }
  }

  private static SycamoreException failure(ExecutionOutcome outcome, String message) {
    return new SycamoreException(
        ErrorCode.PLATFORM_UNAVAILABLE, outcome, "store call through a peer failed: " + message);
  }

  private void onCall(String from, Call call) {
    if (!path.isDirect()) {
      link.send(
          from,
          Reply.failed(call.id(), ExecutionOutcome.NOT_RUN, "the peer can't reach the store"));
      return;
    }
    execute(call)
        .whenComplete(
            Failures.loggingExceptions(
                (result, failure) -> {
                  Reply reply = result;
                  if (failure != null) {
                    String reason = String.valueOf(Failures.unwrap(failure).getMessage());
                    reply = Reply.failed(call.id(), Failures.outcome(failure), reason);
                  }
                  if (!link.send(from, reply)) {
                    LOG.log(
                        System.Logger.Level.INFO,
                        LogEvent.of("relay-reply-not-sent").with("peer", from));
                  }
                }));
  }

  private CompletionStage<Reply> execute(Call call) {
    long id = call.id();
    return switch (call.operation()) {
      case SCAN ->
          store
              .scan(call.table(), call.partition(), call.fromKey(), call.limit())
              .thenApply(
                  page -> Reply.of(id, Result.PAGE, page.rows(), page.version(), page.more()));
      case PARTITIONS ->
          store.partitions(call.table()).thenApply(partitions -> Reply.partitions(id, partitions));
      case CHANGES ->
          store
              .changes(call.table(), call.afterVersion(), call.waitMs())
              .thenApply(changes -> toReply(id, changes));
      case COMMIT -> store.commit(call.write()).thenApply(result -> toReply(id, result));
    };
  }

  private static Reply toReply(long id, Changes changes) {
    return switch (changes) {
      case Changes.Changed changed ->
          Reply.of(id, Result.CHANGED, changed.rows(), changed.version(), false);
      case Changes.HistoryLost lost -> Reply.of(id, Result.HISTORY_LOST, List.of(), 0, false);
    };
  }

  private static Reply toReply(long id, WriteResult result) {
    return switch (result) {
      case WriteResult.Committed committed ->
          Reply.of(id, Result.COMMITTED, List.of(), committed.version(), false);
      case WriteResult.Conflict conflict ->
          Reply.of(id, Result.CONFLICT, conflict.rows(), 0, false);
    };
  }
}
