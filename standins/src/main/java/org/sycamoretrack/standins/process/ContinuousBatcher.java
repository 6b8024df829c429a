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
 * Continuous batching: all running streams advance together by one chunk in each tick.
 *
 * <p>With {@code b} streams running, a token takes {@code tokenTimeUs * (1 + b / batchDoubling)},
 * so that a batch of {@code batchDoubling} streams takes twice as long for each token as a single
 * stream, and still makes far more tokens in all. Streams beyond {@code maxBatch} wait in the order
 * in which they came. A stream joins at the next tick after its prompt has been processed; only
 * what the prefix cache does not hold takes time. Confined to the engine's event loop.
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

  /** Breaks off the stream of a request; returns whether there was one. */
  boolean cancel(String requestId) {
    return cancel(stream -> stream.requestId().equals(requestId));
  }

  /** Breaks off a stream; nothing happens when it has ended. */
  void cancel(TokenStream stream) {
    cancel(each -> each == stream);
  }

  private boolean cancel(Predicate<TokenStream> predicate) {
    Predicate<TokenStream> cancelled =
        stream -> {
          if (!predicate.test(stream)) {
            return false;
          }
          stream.entry().end("cancelled");
          stream.abort();
          return true;
        };
    boolean waited = waiting.removeIf(cancelled);
    return running.removeIf(cancelled) || waited;
  }

  /** Stops for good, as a crash does. The connections are closed by the caller. */
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
    running.removeIf(ContinuousBatcher::isFinished);
    admit();
    ticking = !running.isEmpty();
    if (ticking) {
      scheduleTick(advanced);
    }
  }

  private static boolean isFinished(TokenStream stream) {
    if (stream.isEnded()) {
      stream.entry().end("finished");
      return true;
    }
    return false;
  }
}
