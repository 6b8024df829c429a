package org.sycamoretrack.bench.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.bench.request.SimulatedRequest;

/**
 * Simulates an engine with continuous batching.
 *
 * <p>Time advances in steps. Each step generates one token for each request in the batch and
 * processes some prompt tokens of requests in their prefill; it takes longer with the size of the
 * batch, with the prompt tokens processed, and during slowdowns. Requests join the batch in arrival
 * order while it has room. An LRU cache keeps the prefixes of prompts; a cached prefix is not
 * processed again.
 */
public final class SimulatedEngine {
  private static final double REPORT_INTERVAL_MS = 1_000;
  private static final double LOADING_SLOWDOWN = 1.5;
  private static final double SWAP_MS = 300;
  private static final long NONE = -1;

  private final VirtualTime time;
  private final EngineProfile profile;
  private final SlowdownSchedule slowdowns;
  private final List<RunningRequest> batch = new ArrayList<>();
  private final Deque<RunningRequest> waiting = new ArrayDeque<>();
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
  private double loadingSlowdown = 1;
  private double pausedUntilMs;
  private long version = 1;
  private long loadingVersion = NONE;
  private long prefilledTokens;
  private long stepCount;

  /** Receives the tokens and the end of a request. */
  public interface Listener {
    /**
     * Called for each token except the last.
     *
     * @param request the request
     * @param first whether it is the first of this attempt
     */
    void onToken(SimulatedRequest request, boolean first);

    /**
     * Called for the last token.
     *
     * @param request the request
     */
    void onEnd(SimulatedRequest request);
  }

  private static final class RunningRequest {
    final SimulatedRequest request;
    final Listener listener;
    int remainingPrefillTokens;
    boolean first = true;
    boolean cancelled;

    RunningRequest(SimulatedRequest request, Listener listener) {
      this.request = request;
      this.listener = listener;
    }
  }

  /**
   * Creates an engine without load.
   *
   * @param time the clock
   * @param profile its speed
   * @param slowdowns its slowdowns
   */
  public SimulatedEngine(VirtualTime time, EngineProfile profile, SlowdownSchedule slowdowns) {
    this.time = time;
    this.profile = profile;
    this.slowdowns = slowdowns;
    time.every(REPORT_INTERVAL_MS, () -> reportedLoad = load());
  }

  /**
   * Sends a request to the engine.
   *
   * @param request the request
   * @param listener is notified of its tokens and its end
   */
  public void submit(SimulatedRequest request, Listener listener) {
    request.onSent(time.nowMs(), version);
    waiting.add(new RunningRequest(request, listener));
    if (!stepping) {
      stepping = true;
      step();
    }
  }

  /**
   * Cancels a request; its listener is not notified again.
   *
   * @param request the request
   */
  public void cancel(SimulatedRequest request) {
    batch.removeIf(running -> cancelIf(running, request));
    waiting.removeIf(running -> cancelIf(running, request));
  }

  private static boolean cancelIf(RunningRequest running, SimulatedRequest request) {
    boolean matches = running.request == request;
    running.cancelled |= matches;
    return matches;
  }

  /** Returns the requests that run or wait in the engine now. */
  public int load() {
    return batch.size() + waiting.size();
  }

  /** Returns the load at the last report. */
  public int reportedLoad() {
    return reportedLoad;
  }

  /** Returns the weight version that it serves. */
  public long version() {
    return version;
  }

  /** Returns the version that it loads, -1 for none. */
  public long loadingVersion() {
    return loadingVersion;
  }

  /**
   * Loads weights while serving more slowly, then swaps them during a short pause.
   *
   * @param newVersion the version to load
   * @param loadMs how long the load takes
   * @param onLoaded is run when the version is served
   */
  public void loadWeights(long newVersion, double loadMs, Runnable onLoaded) {
    loadingSlowdown = LOADING_SLOWDOWN;
    loadingVersion = newVersion;
    time.after(
        loadMs,
        () -> {
          loadingSlowdown = 1;
          loadingVersion = NONE;
          pausedUntilMs = time.nowMs() + SWAP_MS;
          version = newVersion;
          onLoaded.run();
        });
  }

  /** Returns the number of prompt tokens processed so far. */
  public long prefilledTokens() {
    return prefilledTokens;
  }

  /** Returns the number of steps run so far. */
  public long stepCount() {
    return stepCount;
  }

  private void step() {
    admit();
    if (batch.isEmpty()) {
      stepping = false;
      return;
    }
    int budgetTokens = profile.maxPrefillTokensPerStep();
    for (RunningRequest running : batch) {
      int tokens = Math.min(budgetTokens, running.remainingPrefillTokens);
      running.remainingPrefillTokens -= tokens;
      budgetTokens -= tokens;
    }
    int prefilledNow = profile.maxPrefillTokensPerStep() - budgetTokens;
    prefilledTokens += prefilledNow;
    stepCount++;
    double stepMs =
        profile.baseStepMs()
            + profile.stepMsPerRequest() * batch.size()
            + profile.prefillMsPerToken() * prefilledNow;
    double pauseMs = Math.max(0, pausedUntilMs - time.nowMs());
    double factor = loadingSlowdown * slowdowns.factorAt(time.nowMs());
    time.after(pauseMs + stepMs * factor, this::finishStep);
  }

  private void admit() {
    while (batch.size() < profile.maxBatch() && !waiting.isEmpty()) {
      RunningRequest running = waiting.poll();
      SimulatedRequest request = running.request;
      boolean cached =
          request.prefixHash() != 0 && prefixCache.put(request.prefixHash(), true) != null;
      running.remainingPrefillTokens =
          cached ? 1 + request.generatedTokens() : request.prefillTokens();
      batch.add(running);
    }
  }

  private void finishStep() {
    for (RunningRequest running : List.copyOf(batch)) {
      if (running.remainingPrefillTokens > 0 || running.cancelled) {
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
