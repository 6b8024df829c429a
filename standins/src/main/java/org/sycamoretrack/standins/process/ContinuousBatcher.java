package org.sycamoretrack.standins.process;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.sycamoretrack.standins.connection.PrefixCache;
import org.sycamoretrack.standins.request.TokenStream;
import org.sycamoretrack.standins.version.EngineWeights;

/**
 * Simulates continuous batching: in each tick, all running streams advance by one chunk.
 *
 * <p>With {@code b} running streams, a token takes {@code tokenTimeUs * (1 + b / batchDoubling)}:
 * at a batch size of {@code batchDoubling} the time per token is twice that of a single stream, but
 * the total throughput is far higher. Streams in excess of {@code maxBatch} wait in FIFO order. A
 * stream produces tokens from the first tick after its prefill, which takes time only for the part
 * of the prompt that is not in the prefix cache. Confined to the engine's event loop.
 */
final class ContinuousBatcher {
  private static final int CHARS_PER_TOKEN = 4;
  private static final long IDLE_TICK_NS = TimeUnit.MILLISECONDS.toNanos(1);

  private final EventExecutor loop;
  private final EngineSettings settings;
  private final PrefixCache cache;
  private final EngineWeights weights;
  private final FaultInjector faults;
  private final Runnable onPoison;
  private final List<TokenStream> running = new ArrayList<>();
  private final Deque<TokenStream> waiting = new ArrayDeque<>();
  private boolean ticking;
  private boolean stopped;
  private long tokens;

  ContinuousBatcher(
      EventExecutor loop,
      EngineSettings settings,
      PrefixCache cache,
      EngineWeights weights,
      FaultInjector faults,
      Runnable onPoison) {
    this.loop = loop;
    this.settings = settings;
    this.cache = cache;
    this.weights = weights;
    this.faults = faults;
    this.onPoison = onPoison;
  }

  int runningCount() {
    return running.size();
  }

  int waitingCount() {
    return waiting.size();
  }

  /** Returns the number of tokens generated so far. */
  long tokens() {
    return tokens;
  }

  void add(TokenStream stream) {
    waiting.addLast(stream);
    if (!ticking) {
      ticking = true;
      admit();
      scheduleTick(true);
    }
  }

  /** Cancels the stream of a request; returns whether there was one. */
  boolean cancel(String requestId) {
    return cancel(stream -> stream.requestId().equals(requestId));
  }

  /** Cancels a stream; does nothing if it has ended. */
  void cancel(TokenStream stream) {
    cancel(each -> each == stream);
  }

  private boolean cancel(Predicate<TokenStream> predicate) {
    Predicate<TokenStream> cancelIfMatching =
        stream -> {
          if (!predicate.test(stream)) {
            return false;
          }
          stream.entry().end("cancelled");
          stream.abort();
          return true;
        };
    boolean wasWaiting = waiting.removeIf(cancelIfMatching);
    return running.removeIf(cancelIfMatching) || wasWaiting;
  }

  /** Aborts all streams and stops permanently, as in a crash. The caller closes the connections. */
  void stop() {
    stopped = true;
    running.forEach(stream -> stream.entry().end("crashed"));
    waiting.forEach(stream -> stream.entry().end("crashed"));
    running.forEach(TokenStream::abort);
    waiting.forEach(TokenStream::abort);
    running.clear();
    waiting.clear();
  }

  private void admit() {
    long nowNs = System.nanoTime();
    while (running.size() < settings.maxBatch() && !waiting.isEmpty()) {
      TokenStream stream = waiting.removeFirst();
      int uncachedChars = stream.prompt().length() - cache.lookUpAndStore(stream.prompt());
      long prefillUs = (long) uncachedChars / CHARS_PER_TOKEN * settings.prefillTimeUs();
      stream.setReadyNs(nowNs + TimeUnit.MICROSECONDS.toNanos(prefillUs));
      running.add(stream);
    }
  }

  private void scheduleTick(boolean advanced) {
    long tickNs = tickNs();
    if (tickNs == 0 && advanced) {
      loop.execute(this::tick);
    } else {
      loop.schedule(this::tick, Math.max(tickNs, IDLE_TICK_NS), TimeUnit.NANOSECONDS);
    }
  }

  private long tickNs() {
    double batchFactor = 1 + (double) running.size() / settings.batchDoubling();
    double loadFactor = weights.isLoading() ? settings.loadSlowdown() : 1;
    double tokenUs = settings.tokenTimeUs() * batchFactor * loadFactor * faults.slowFactor();
    return (long) (TimeUnit.MICROSECONDS.toNanos(1) * tokenUs * settings.tokensPerChunk());
  }

  private void tick() {
    if (stopped) {
      return;
    }
    long nowNs = System.nanoTime();
    int version = weights.generatingVersion();
    boolean advanced = false;
    for (TokenStream stream : running) {
      if (stream.isReady(nowNs)) {
        if (faults.triggerPoison(stream.prompt())) {
          onPoison.run();
          return;
        }
        tokens += stream.emit(settings.tokensPerChunk(), version);
        advanced = true;
      }
    }
    running.removeIf(ContinuousBatcher::finishIfEnded);
    admit();
    ticking = !running.isEmpty();
    if (ticking) {
      scheduleTick(advanced);
    }
  }

  /** Ends the journal entry of a stream that has ended; returns whether it has ended. */
  private static boolean finishIfEnded(TokenStream stream) {
    if (stream.isEnded()) {
      stream.entry().end("finished");
      return true;
    }
    return false;
  }
}
