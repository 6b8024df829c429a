package org.sycamoretrack.daemon.process.storebacked;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.PathSwitch;
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
 * <p>Peers are dialled only while the store can't be reached, at most {@value #MAX_PEERS} of them
 * and those of the own zone first, so that no connections are open in normal operation. A peer that
 * can't reach the store replies with an error at once, and the next call goes to the next peer.
 *
 * <p>Thread-safe.
 */
final class StoreRelay {
  private static final int MAX_PEERS = 3;

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
  private final Map<Long, CompletableFuture<Reply>> pendingReplies = new ConcurrentHashMap<>();
  private final Set<InetSocketAddress> dialled = ConcurrentHashMap.newKeySet();
  private final AtomicLong lastCallId = new AtomicLong();
  private final AtomicLong peerRotation = new AtomicLong();
  private volatile List<InetSocketAddress> peers = List.of();

  /**
   * Creates a relay.
   *
   * @param link the connections to peers
   * @param store the store that is called directly on behalf of peers
   * @param path tracks whether the direct path works
   * @param loop runs the timeouts
   */
  StoreRelay(PeerLink link, PartitionedStore store, PathSwitch path, EventLoop loop) {
    this.link = link;
    this.store = store;
    this.path = path;
    this.loop = loop;
    link.onMessage(Call.TYPE, Call::read, this::onCall);
    link.onMessage(Reply.TYPE, Reply::read, (from, reply) -> onReply(reply));
    link.onInboundConnected(peer -> link.dial(Addresses.parse(peer.address())));
  }

  /**
   * Sets the peers that may relay calls.
   *
   * @param addresses the addresses of the peers, in order of preference
   */
  void setPeers(List<String> addresses) {
    peers = addresses.stream().limit(MAX_PEERS).map(Addresses::parse).toList();
  }

  /** Connects to the peers, so that they can relay calls. */
  void connectPeers() {
    for (InetSocketAddress peer : peers) {
      if (dialled.add(peer)) {
        link.dial(peer);
      }
    }
  }

  /** Closes the connections to peers after a delay, unless they are needed again by then. */
  void schedulePeerDisconnect() {
    loop.schedule(
        () -> {
          if (path.isDirect()) {
            dialled.forEach(link::stopDialling);
            dialled.clear();
          }
        },
        PEER_LINGER_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a call to a peer.
   *
   * @param call creates the call with a given id
   * @return the reply; fails with {@code NOT_RUN} if the call couldn't be sent to a peer
   */
  CompletionStage<Reply> send(LongFunction<Call> call) {
    connectPeers();
    long id = lastCallId.incrementAndGet();
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    List<String> ready =
        link.connectedPeers().stream().filter(link::isConnectedBothWays).sorted().toList();
    if (ready.isEmpty()) {
      return CompletableFuture.failedFuture(
          failure(ExecutionOutcome.NOT_RUN, "no peer is connected"));
    }
    String peer = ready.get((int) (peerRotation.get() % ready.size()));
    pendingReplies.put(id, reply);
    if (!link.send(peer, call.apply(id))) {
      pendingReplies.remove(id);
      peerRotation.incrementAndGet();
      return CompletableFuture.failedFuture(
          failure(ExecutionOutcome.NOT_RUN, "the call could not be sent to the peer"));
    }
    loop.schedule(() -> onTimeout(id), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    return reply;
  }

  private void onTimeout(long id) {
    CompletableFuture<Reply> reply = pendingReplies.remove(id);
    if (reply != null) {
      peerRotation.incrementAndGet();
      reply.completeExceptionally(
          failure(ExecutionOutcome.UNKNOWN, "the peer did not reply in time"));
    }
  }

  private void onReply(Reply reply) {
    CompletableFuture<Reply> expected = pendingReplies.remove(reply.id());
    if (expected == null) {
      return;
    }
    if (reply.result() == Result.FAILED) {
      peerRotation.incrementAndGet();
      expected.completeExceptionally(failure(reply.outcome(), reply.message()));
    } else {
      expected.complete(reply);
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
      case PARTITIONS -> store.partitions(call.table()).thenApply(names -> Reply.names(id, names));
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
