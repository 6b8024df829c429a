package org.sycamoretrack.daemon.process.storebacked;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.PathSwitch;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.process.storebacked.StoreMessage.Call;
import org.sycamoretrack.daemon.process.storebacked.StoreMessage.Reply;
import org.sycamoretrack.daemon.process.storebacked.StoreMessage.Result;

/**
 * A store that is called directly, or through a peer while the direct path fails.
 *
 * <p>A read whose direct call fails is retried through a peer at once. A write is retried only if
 * the direct call guarantees that nothing was written; otherwise the failure is reported, since
 * only the writer can resolve the unknown outcome. While the direct path fails, writes go through a
 * peer only, and reads retry the direct path periodically.
 *
 * <p>All stages complete on the loop.
 */
final class RelayedStore implements PartitionedStore {
  private static final System.Logger LOG = System.getLogger(RelayedStore.class.getName());

  private final PartitionedStore direct;
  private final StoreRelay relay;
  private final PathSwitch path;
  private final EventLoop loop;

  /**
   * Creates the store.
   *
   * @param direct the store; its stages complete on the loop
   * @param relay sends calls through peers
   * @param path tracks whether the direct path works
   * @param loop the loop
   */
  RelayedStore(PartitionedStore direct, StoreRelay relay, PathSwitch path, EventLoop loop) {
    this.direct = direct;
    this.relay = relay;
    this.path = path;
    this.loop = loop;
  }

  @Override
  public CompletionStage<Page> scan(String table, String partition, String fromKey, int limit) {
    return read(
        () -> direct.scan(table, partition, fromKey, limit),
        id -> Call.scan(id, table, partition, fromKey, limit),
        reply -> new Page(reply.rows(), reply.version(), reply.more()));
  }

  @Override
  public CompletionStage<Partitions> partitions(String table) {
    return read(
        () -> direct.partitions(table),
        id -> Call.partitions(id, table),
        reply -> new Partitions(reply.names(), reply.version()));
  }

  @Override
  public CompletionStage<Changes> changes(String table, long afterVersion, long waitMs) {
    return read(
        () -> direct.changes(table, afterVersion, waitMs),
        id -> Call.changes(id, table, afterVersion, waitMs),
        reply ->
            reply.result() == Result.HISTORY_LOST
                ? new Changes.HistoryLost()
                : new Changes.Changed(reply.rows(), reply.version()));
  }

  @Override
  public CompletionStage<WriteResult> commit(PartitionWrite write) {
    LongFunction<Call> call = id -> Call.commit(id, write);
    if (!path.isDirect()) {
      return viaPeer(call, RelayedStore::toWriteResult);
    }
    CompletableFuture<WriteResult> response = new CompletableFuture<>();
    trackPathState(direct.commit(write))
        .whenComplete(
            Failures.loggingExceptions(
                (result, failure) -> {
                  if (failure == null) {
                    response.complete(result);
                  } else if (Failures.outcome(failure) == ExecutionOutcome.NOT_RUN) {
                    completeFrom(viaPeer(call, RelayedStore::toWriteResult), response);
                  } else {
                    response.completeExceptionally(failure);
                  }
                }));
    return response;
  }

  private static WriteResult toWriteResult(Reply reply) {
    return reply.result() == Result.COMMITTED
        ? new WriteResult.Committed(reply.version())
        : new WriteResult.Conflict(reply.rows());
  }

  private <T> CompletionStage<T> read(
      Supplier<CompletionStage<T>> directCall, LongFunction<Call> call, Function<Reply, T> reader) {
    if (!path.tryDirect(MonotonicClock.nowMs())) {
      return viaPeer(call, reader);
    }
    CompletableFuture<T> response = new CompletableFuture<>();
    trackPathState(directCall.get())
        .whenComplete(
            Failures.loggingExceptions(
                (value, failure) -> {
                  if (failure == null) {
                    response.complete(value);
                  } else {
                    completeFrom(viaPeer(call, reader), response);
                  }
                }));
    return response;
  }

  private <T> CompletionStage<T> viaPeer(LongFunction<Call> call, Function<Reply, T> reader) {
    CompletableFuture<T> response = new CompletableFuture<>();
    relay
        .send(call)
        .thenApply(reader)
        .whenComplete(
            (value, failure) ->
                loop.execute(
                    () -> {
                      if (failure == null) {
                        response.complete(value);
                      } else {
                        response.completeExceptionally(failure);
                      }
                    }));
    return response;
  }

  private static <T> void completeFrom(CompletionStage<T> from, CompletableFuture<T> to) {
    from.whenComplete(
        (value, failure) -> {
          if (failure == null) {
            to.complete(value);
          } else {
            to.completeExceptionally(failure);
          }
        });
  }

  private <T> CompletionStage<T> trackPathState(CompletionStage<T> call) {
    return call.whenComplete(
        Failures.loggingExceptions(
            (value, failure) -> {
              if (failure == null) {
                onSucceeded();
              } else {
                onFailed(failure);
              }
            }));
  }

  private void onSucceeded() {
    if (path.onSucceeded()) {
      LOG.log(System.Logger.Level.INFO, LogEvent.of("store-path").with("straight", true));
      relay.schedulePeerDisconnect();
    }
  }

  private void onFailed(Throwable failure) {
    if (path.onFailed(MonotonicClock.nowMs())) {
      LOG.log(
          System.Logger.Level.WARNING,
          LogEvent.of("store-path")
              .with("straight", false)
              .with("reason", Failures.unwrap(failure).getMessage()));
      relay.connectPeers();
    }
  }
}
