package org.sycamoretrack.daemon.system;

import static org.sycamoretrack.daemon.system.SystemRun.POOL;
import static org.sycamoretrack.daemon.system.SystemRun.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sycamoretrack.standins.driver.Endpoint;
import org.sycamoretrack.standins.process.FaultKind;

/**
 * Runs of several faults one upon the other, drawn from a seed: {@code -Dseeds=N} runs the seeds 1
 * to N, a build without it those of a fixed list.
 */
class RandomisedFaultsTest {
  private static final int FAULTS = 6;
  private static final int SAMPLES_BETWEEN = 40;

  static LongStream seeds() {
    int count = Integer.getInteger("seeds", 0);
    return count == 0 ? LongStream.of(11) : LongStream.rangeClosed(1, count);
  }

  private enum Step {
    KILL_NODE,
    STOP_NODE,
    FREEZE_NODE,
    CRASH_ENGINE,
    SLOW_ENGINE,
    PLATFORM_OUT,
    PLATFORM_LOSES_ANSWERS
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void promisesHoldUnderFaultsDrawnFromASeed(long seed) {
    List<String> trace = new ArrayList<>();
    try (SystemRun run = SystemRun.start("randomised-" + seed)) {
      Random random = new Random(seed);
      run.startCallers();
      run.startTraining(0.1);
      for (int i = 0; i < FAULTS; i++) {
        Step step = Step.values()[random.nextInt(Step.values().length)];
        String nodeId = run.node(random.nextInt(4)).nodeId();
        Endpoint engine = run.endpoints(POOL).get(random.nextInt(4));
        trace.add(step + " " + nodeId + " " + engine.name());
        run.awaitSamples(SAMPLES_BETWEEN);
        apply(run, step, nodeId, engine);
      }
      run.finishTraining();
      run.finishCallersOfDeadNodes();
      run.assertPromises();
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ", faults " + trace, e);
    }
  }

  private static void apply(SystemRun run, Step step, String nodeId, Endpoint engine) {
    switch (step) {
      case KILL_NODE -> {
        run.launcher().killNode(nodeId);
        run.awaitSamples(SAMPLES_BETWEEN);
        run.launcher().startNodes(List.of(nodeId));
      }
      case STOP_NODE -> {
        run.launcher().stopNode(nodeId);
        run.launcher().startNodes(List.of(nodeId));
      }
      case FREEZE_NODE -> {
        run.launcher().freezeNode(nodeId);
        run.awaitSamples(SAMPLES_BETWEEN);
        run.launcher().wakeNode(nodeId);
      }
      case CRASH_ENGINE -> run.crash(engine, 1_000);
      case SLOW_ENGINE ->
          run.addFault(
              engine.address(),
              fault(FaultKind.SLOWED_ENGINE).put("factor", 5).put("durationMs", 3_000));
      case PLATFORM_OUT ->
          run.addFault(run.launcher().platform(), fault(FaultKind.OUTAGE).put("durationMs", 3_000));
      case PLATFORM_LOSES_ANSWERS ->
          run.addFault(
              run.launcher().platform(),
              fault(FaultKind.LOST_ANSWER).put("share", 0.3).put("durationMs", 5_000));
      default -> throw new IllegalStateException(step.name());
    }
  }
}
