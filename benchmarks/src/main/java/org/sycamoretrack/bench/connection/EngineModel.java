package org.sycamoretrack.bench.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.bench.request.ModelRequest;

/**
 * An engine that batches continuously.
 *
 * <p>Time goes in steps. Each step makes one token for each request in the batch and reads some
 * prompt tokens of those that begin; it takes longer with the size of the batch, with the prompt
 * tokens read, and in slow moments. Requests are admitted as they come while the batch has room.
 * The prefixes of prompts are kept in a cache, least recently used first out; a cached prefix is
 * not read again.
 */
public final class EngineModel {
  private static final double REPORT_INTERVAL_MS = 1_000;
  private static final double LOADING_FACTOR = 1.5;
  private static final double SWAP_MS = 300;
  private static final long NONE = -1;

  private final VirtualTime time;
  private final EngineProfile profile;
  private final SlowMoments slowMoments;
  private final List<Running> batch = new ArrayList<>();
  private final Deque<Running> waiting = new ArrayDeque<>();
  private final Map<Long, Boolean> prefixCache =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > profile.cachedPrefixes();
        }
      };
  private boolean stepping;
  private int reportedLoad;
  private double loadingFactor = 1;
  private double pausedUntilMs;
  private long version = 1;
  private long loading = NONE;
  private long readTokens;
  private long busySteps;

  /** Hears of the tokens and ends of a request. */
  public interface Listener {
    /**
     * A token was made that is not the last.
     *
     * @param request the request
     * @param first whether it is the first of this attempt
     */
    void onToken(ModelRequest request, boolean first);

    /**
     * The last token was made.
     *
     * @param request the request
     */
    void onEnd(ModelRequest request);
  }

  private static final class Running {
    final ModelRequest request;
    final Listener listener;
    int toReadTokens;
    boolean first = true;
    boolean cancelled;

    Running(ModelRequest request, Listener listener) {
      this.request = request;
      this.listener = listener;
    }
  }

  /**
   * Creates an engine without load.
   *
   * @param time the clock
   * @param profile how fast it is
   * @param slowMoments when it is slower
   */
  public EngineModel(VirtualTime time, EngineProfile profile, SlowMoments slowMoments) {
    this.time = time;
    this.profile = profile;
    this.slowMoments = slowMoments;
    time.every(REPORT_INTERVAL_MS, () -> reportedLoad = load());
  }

  /**
   * Sends a request to the engine.
   *
   * @param request the request
   * @param listener hears of its tokens and end
   */
  public void submit(ModelRequest request, Listener listener) {
    request.onSent(time.nowMs(), version);
    waiting.add(new Running(request, listener));
    if (!stepping) {
      stepping = true;
      step();
    }
  }

  /**
   * Cancels a request; its listener hears no more of it.
   *
   * @param request the request
   */
  public void cancel(ModelRequest request) {
    batch.removeIf(running -> cancelIf(running, request));
    waiting.removeIf(running -> cancelIf(running, request));
  }

  private static boolean cancelIf(Running running, ModelRequest request) {
    boolean matches = running.request == request;
    running.cancelled |= matches;
    return matches;
  }

  /** Returns the requests that run or wait in the engine now. */
  public int load() {
    return batch.size() + waiting.size();
  }

  /** Returns the load as it was when last reported. */
  public int reportedLoad() {
    return reportedLoad;
  }

  /** Returns the weight version that it serves. */
  public long version() {
    return version;
  }

  /** Returns the version that it loads, -1 for none. */
  public long loading() {
    return loading;
  }

  /**
   * Loads weights beside serving, which is slower meanwhile, and swaps them in a short pause.
   *
   * @param newVersion the version to load
   * @param loadMs how long the load takes
   * @param onLoaded is run when the version is served
   */
  public void load(long newVersion, double loadMs, Runnable onLoaded) {
    loadingFactor = LOADING_FACTOR;
    loading = newVersion;
    time.after(
        loadMs,
        () -> {
          loadingFactor = 1;
          loading = NONE;
          pausedUntilMs = time.nowMs() + SWAP_MS;
          version = newVersion;
          onLoaded.run();
        });
  }

  /** Returns how many prompt tokens were read so far. */
  public long readTokens() {
    return readTokens;
  }

  /** Returns how many steps were made so far. */
  public long busySteps() {
    return busySteps;
  }

  private void step() {
    admit();
    if (batch.isEmpty()) {
      stepping = false;
      return;
    }
    int budgetTokens = profile.maxPrefillTokensPerStep();
    for (Running running : batch) {
      int tokens = Math.min(budgetTokens, running.toReadTokens);
      running.toReadTokens -= tokens;
      budgetTokens -= tokens;
    }
    int readNow = profile.maxPrefillTokensPerStep() - budgetTokens;
    readTokens += readNow;
    busySteps++;
    double stepMs =
        profile.baseStepMs()
            + profile.stepMsPerRequest() * batch.size()
            + profile.prefillMsPerToken() * readNow;
    double pauseMs = Math.max(0, pausedUntilMs - time.nowMs());
    double factor = loadingFactor * slowMoments.factorAt(time.nowMs());
    time.after(pauseMs + stepMs * factor, this::finishStep);
  }

  private void admit() {
    while (batch.size() < profile.maxBatch() && !waiting.isEmpty()) {
      Running running = waiting.poll();
      ModelRequest request = running.request;
      boolean cached =
          request.prefixHash() != 0 && prefixCache.put(request.prefixHash(), true) != null;
      running.toReadTokens = cached ? 1 + request.tokensMade() : request.tokensToRead();
      batch.add(running);
    }
  }

  private void finishStep() {
    for (Running running : List.copyOf(batch)) {
      if (running.toReadTokens > 0 || running.cancelled) {
        continue;
      }
      boolean first = running.first;
      running.first = false;
      if (running.request.onToken(time.nowMs())) {
        batch.remove(running);
        running.listener.onEnd(running.request);
      } else {
        running.listener.onToken(running.request, first);
      }
    }
    step();
  }
}
