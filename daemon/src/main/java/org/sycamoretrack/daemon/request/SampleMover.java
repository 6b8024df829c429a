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
 * <p>Samples that wait in the queue of a full endpoint are moved to endpoints with free slots and
 * an empty queue. This costs nothing, since no token of them has been generated. At the end of a
 * step, when no slot is waiting, slow samples are moved to faster endpoints as the {@link
 * StragglerPolicy} decides within its budget.
 *
 * <p>Example: the limit of endpoint a falls to 2 while 20 samples wait there, and endpoint b has 10
 * free slots. After {@value #MAX_QUEUE_WAIT_MS} ms, 10 of the 20 samples are moved to b.
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
   * The progress of a step, as input for the straggler policy.
   *
   * @param slots the number of samples
   * @param maxTokens the maximum number of tokens per sample
   * @param waiting the number of samples that haven't been assigned to an endpoint
   * @param generatedTokens the number of tokens of the finished samples
   */
  record Progress(int slots, int maxTokens, int waiting, long generatedTokens) {}

  /** Returns the number of moves of partially generated samples. */
  int moves() {
    return moves;
  }

  /** Returns the number of tokens that had been generated before a move and were kept. */
  long movedTokens() {
    return movedTokens;
  }

  /**
   * Moves queued samples to endpoints with free slots.
   *
   * @param running the active samples of the step, including those queued at an endpoint
   * @param views the endpoints of the track's pools
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
   * Moves slow samples at the end of a step.
   *
   * @param running the active samples of the step by slot
   * @param progress the progress of the step
   * @param views the endpoints of the track's pools
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
    List<StragglerPolicy.EndpointStatus> statuses =
        views.stream().filter(SampleMover::isInUse).map(SampleMover::toStatus).toList();
    StragglerPolicy.StepProgress step =
        new StragglerPolicy.StepProgress(
            progress.slots(),
            samples,
            progress.waiting(),
            progress.generatedTokens(),
            moveCostTokens);
    for (StragglerPolicy.Move move : stragglers.selectMoves(step, statuses)) {
      int keptTokens = running.get(move.slot()).moveTo(move.toEndpoint());
      movedTokens += keptTokens;
      moveCostTokens += StragglerPolicy.costTokens(keptTokens);
      moves++;
    }
  }

  private static boolean isInUse(EndpointView view) {
    return view.inService() && view.ejection() == EjectionState.IN_USE;
  }

  private static StragglerPolicy.EndpointStatus toStatus(EndpointView view) {
    int freeSlots = Math.max(0, view.limit() - view.inFlight());
    return new StragglerPolicy.EndpointStatus(
        view.name(), view.inFlight(), freeSlots, view.servedVersion(), view.timePerTokenMs());
  }
}
