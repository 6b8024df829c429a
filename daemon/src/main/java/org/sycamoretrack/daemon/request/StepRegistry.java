package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepId;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.process.Json;

/**
 * The steps that this node owns. Thread-safe.
 *
 * <p>A step that isn't polled is closed after {@value #IDLE_TIMEOUT_MS} ms, or after {@value
 * #MOVED_IDLE_TIMEOUT_MS} ms if another node has become its owner.
 */
public final class StepRegistry {
  private static final System.Logger LOG = System.getLogger(StepRegistry.class.getName());
  private static final int IDLE_TIMEOUT_MS = 1_200_000;
  private static final int MOVED_IDLE_TIMEOUT_MS = 35_000;
  private static final int RESTORE_TIMEOUT_MS = 1_000;

  private final StepServices services;
  private final EventLoopGroup loops;
  private final int maxOpenSteps;
  private final Function<StepSpec, CompletionStage<List<Sample>>> restore;
  private final Map<StepId, StepRunner> steps = new ConcurrentHashMap<>();

  /**
   * Creates an empty registry.
   *
   * @param services the dependencies shared by all steps
   * @param loops the event loops; each step is assigned to one of them
   * @param maxOpenSteps the maximum number of open steps
   * @param restore reads the samples that earlier owners of a step finished
   */
  StepRegistry(
      StepServices services,
      EventLoopGroup loops,
      int maxOpenSteps,
      Function<StepSpec, CompletionStage<List<Sample>>> restore) {
    this.services = services;
    this.loops = loops;
    this.maxOpenSteps = maxOpenSteps;
    this.restore = restore;
  }

  /**
   * Opens a step. Does nothing if it is open with the same work.
   *
   * @param spec the step
   * @throws SycamoreException with {@code VERSION_CONFLICT} if it is open with different work
   */
  void open(StepSpec spec) {
    TrackSettings settings =
        services
            .trackSettings()
            .apply(spec.id().track())
            .orElseThrow(
                () ->
                    error(
                        ErrorCode.NOT_FOUND, "track " + spec.id().track() + " is not configured"));
    StepRunner existing = steps.get(spec.id());
    if (existing == null) {
      if (steps.size() >= maxOpenSteps) {
        throw error(
            ErrorCode.OVERLOADED,
            "the node already has the maximum of " + maxOpenSteps + " open steps");
      }
      StepRunner runner = new StepRunner(spec, settings, services, loops.next());
      existing = steps.putIfAbsent(spec.id(), runner);
      if (existing == null) {
        restoreAndStart(runner);
        return;
      }
      runner.loop().execute(runner::close);
    }
    if (!existing.spec().requestsSameSamples(spec)) {
      throw error(
          ErrorCode.VERSION_CONFLICT, "the step is already open with different groups or limits");
    }
  }

  private void restoreAndStart(StepRunner runner) {
    StepId id = runner.spec().id();
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("step-opened")
            .with("track", id.track())
            .with("step", id.step())
            .with("slots", runner.spec().slots()));
    CompletableFuture<List<Sample>> finished =
        restore
            .apply(runner.spec())
            .toCompletableFuture()
            .orTimeout(RESTORE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    finished.whenComplete(
        (samples, failure) ->
            runner.loop().execute(() -> runner.start(failure == null ? samples : List.of())));
  }

  private static SycamoreException error(ErrorCode code, String message) {
    return new SycamoreException(code, ExecutionOutcome.NOT_RUN, message);
  }

  /** Returns the runner of a step, or empty if the step isn't open. */
  Optional<StepRunner> find(StepId id) {
    return Optional.ofNullable(steps.get(id));
  }

  /** Closes a step on request of its trainer and discards its saved samples, if it is open. */
  void closePermanently(StepId id) {
    find(id).ifPresent(runner -> services.sink().onClosed(runner.spec()));
    close(id);
  }

  /** Closes a step if it is open. */
  void close(StepId id) {
    StepRunner runner = steps.remove(id);
    if (runner != null) {
      runner.loop().execute(runner::close);
    }
  }

  /**
   * Closes steps that haven't been polled on this node for too long.
   *
   * @param ownedHere whether this node is the current owner of a step
   */
  public void closeIdle(Predicate<StepId> ownedHere) {
    steps.forEach(
        (id, runner) -> {
          int limitMs = ownedHere.test(id) ? IDLE_TIMEOUT_MS : MOVED_IDLE_TIMEOUT_MS;
          if (runner.idleMs() > limitMs) {
            close(id);
          }
        });
  }

  /** Closes all steps and responds to their waiting polls. */
  public void closeAll() {
    steps.keySet().forEach(this::close);
  }

  /** Returns the number of open steps. */
  public int size() {
    return steps.size();
  }

  /** Returns the state of all steps, each read on the event loop of the step. */
  public CompletionStage<ArrayNode> dump() {
    List<CompletableFuture<ObjectNode>> parts =
        steps.values().stream()
            .map(runner -> CompletableFuture.supplyAsync(runner::dump, runner.loop()))
            .toList();
    return CompletableFuture.allOf(parts.toArray(CompletableFuture[]::new))
        .thenApply(
            done -> {
              ArrayNode array = Json.mapper().createArrayNode();
              parts.forEach(part -> array.add(part.join()));
              return array;
            });
  }
}
