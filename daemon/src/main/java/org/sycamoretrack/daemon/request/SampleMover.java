package org.sycamoretrack.daemon.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.connection.EjectionState;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.request.StragglerPolicy;

/**
 * Moves samples of a step to endpoints that can run them sooner.
 *
 * <p>Samples that wait in the queue of a full endpoint go to an endpoint with free slots and no
 * queue, which costs nothing, since nothing of them was made. In the tail of the step, slow samples
 * go on at faster endpoints as the {@link StragglerPolicy} says, within its budget.
 *
 * <p>Example: a's limit fell to 2 while 20 samples waited there; b has 10 free slots. After {@value
 * #MAX_QUEUE_WAIT_MS} ms, 10 of the 20 run on b.
 *
 * <p>Confined to the event loop of its step.
 */
final class SampleMover {
  private static final int MAX_QUEUE_WAIT_MS = 500;

  private final StragglerPolicy stragglers = new StragglerPolicy();
  private int moves;
  private long movedTokens;
  private double moveCostTokens;

  /**
   * What the straggler policy needs to know of a step.
   *
   * @param slots all its samples
   * @param maxTokens the most tokens of a sample
   * @param waiting its samples that were not given to an endpoint yet
   * @param generatedTokens the tokens of its finished samples
   */
  record Progress(int slots, int maxTokens, int waiting, long generatedTokens) {}

  /** Returns the number of moves of samples of which a part was made. */
  int moves() {
    return moves;
  }

  /** Returns the tokens that moves took along. */
  long movedTokens() {
    return movedTokens;
  }

  /**
   * Moves samples that wait although other endpoints have free slots.
   *
   * @param running the step's samples under way, queued ones included
   * @param views the endpoints of its pools
   */
  void moveQueued(Collection<SlotRun> running, List<EndpointView> views) {
    Map<String, Integer> freeSlots = new HashMap<>();
    for (EndpointView view : views) {
      if (isInUse(view) && view.queuedTokens() == 0 && view.limit() > view.inFlight()) {
        freeSlots.put(view.name(), view.limit() - view.inFlight());
      }
    }
    for (SlotRun run : running) {
      if (freeSlots.isEmpty()) {
        return;
      }
      if (run.waitedMs() >= MAX_QUEUE_WAIT_MS && !freeSlots.containsKey(run.endpoint())) {
        String target = freeSlots.keySet().iterator().next();
        run.moveTo(target);
        freeSlots.computeIfPresent(target, (name, free) -> free > 1 ? free - 1 : null);
      }
    }
  }

  /**
   * Moves slow samples in the tail of a step.
   *
   * @param running the step's samples under way
   * @param progress the step now
   * @param views the endpoints of its pools
   */
  void moveStragglers(Map<Integer, SlotRun> running, Progress progress, List<EndpointView> views) {
    if (progress.waiting() > 0 || running.isEmpty()) {
      return;
    }
    List<StragglerPolicy.RunningSample> samples =
        running.values().stream()
            .map(run -> run.progress(progress.maxTokens()))
            .filter(sample -> !sample.endpoint().isEmpty())
            .toList();
    List<StragglerPolicy.SpareEndpoint> spares =
        views.stream().filter(SampleMover::isInUse).map(SampleMover::spare).toList();
    StragglerPolicy.StepProgress step =
        new StragglerPolicy.StepProgress(
            progress.slots(),
            samples,
            progress.waiting(),
            progress.generatedTokens(),
            moveCostTokens);
    for (StragglerPolicy.Move move : stragglers.decide(step, spares)) {
      int keptTokens = running.get(move.slot()).moveTo(move.toEndpoint());
      movedTokens += keptTokens;
      moveCostTokens += StragglerPolicy.costTokens(keptTokens);
      moves++;
    }
  }

  private static boolean isInUse(EndpointView view) {
    return view.inService() && view.ejection() == EjectionState.IN_USE;
  }

  private static StragglerPolicy.SpareEndpoint spare(EndpointView view) {
    int free = Math.max(0, view.limit() - view.inFlight());
    return new StragglerPolicy.SpareEndpoint(
        view.name(), view.inFlight(), free, view.servedVersion(), view.timePerTokenMs());
  }
}
