package org.sycamoretrack.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.process.LeaseTimings;

/** Stops, kills, suspends and restarts nodes while a trainer and callers use them. */
class NodeFailureTest {
  private static final long SUSPEND_MS = LeaseTimings.DEFAULT.takeOverAfterMs() + 2_000;

  @Test
  void allNodesRestartedOneAfterTheOtherInTheMiddleOfAStep() {
    try (SystemRun run = SystemRun.start("all-nodes-restarted")) {
      run.startCallers();
      run.startTraining(0);
      for (String nodeId : run.launcher().nodeIds()) {
        run.awaitSamples(20);
        run.launcher().stopNode(nodeId);
        run.launcher().startNodes(List.of(nodeId));
      }
      run.awaitSamples(20);
      run.finishTraining();
      run.finishCallers();
      run.assertEveryRequestAnswered();
      run.assertInvariants();
    }
  }

  @Test
  void halfOfTheNodesTakenAwayForGoodAndLaterGivenBack() {
    try (SystemRun run = SystemRun.start("half-taken-away")) {
      List<String> half = run.launcher().nodeIds().subList(0, 2);
      run.startCallers();
      run.startTraining(0);
      run.awaitSamples(20);
      half.forEach(run.launcher()::killNode);
      run.awaitSamples(150);
      run.launcher().startNodes(half);
      run.awaitSamples(150);
      run.finishTraining();
      run.finishCallersAfterNodeDeath();
      run.assertInvariants();
    }
  }

  @Test
  void nodeKilledInTheMiddleOfAStep() {
    try (SystemRun run = SystemRun.start("node-killed")) {
      run.startCallers();
      run.startTraining(0);
      run.awaitSamples(20);
      run.launcher().killNode(run.stepOwner());
      run.awaitSamples(150);
      run.finishTraining();
      run.finishCallersAfterNodeDeath();
      run.assertInvariants();
    }
  }

  @Test
  void nodeSuspendedPastItsLeaseAndResumed() {
    try (SystemRun run = SystemRun.start("node-suspended")) {
      run.startCallers();
      run.startTraining(0);
      run.awaitSamples(20);
      String suspended = run.stepOwner();
      run.launcher().suspendNode(suspended);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SUSPEND_MS));
      run.launcher().resumeNode(suspended);
      run.awaitSamples(150);
      run.finishTraining();
      run.finishCallersAfterNodeDeath();
      run.assertInvariants();
    }
  }

  @Test
  void lostPollResponsesAreRequestedAgainAtAnotherNode() {
    try (SystemRun run = SystemRun.start("lost-poll-answers")) {
      run.startTraining(0.5);
      run.awaitSamples(300);
      run.finishTraining();
      assertThat(run.abandonedPolls()).isPositive();
      run.assertInvariants();
    }
  }
}
