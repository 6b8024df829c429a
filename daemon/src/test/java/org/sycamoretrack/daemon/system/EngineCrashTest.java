package org.sycamoretrack.daemon.system;

import static org.sycamoretrack.daemon.system.SystemRun.POOL;

import org.junit.jupiter.api.Test;
import org.sycamoretrack.standins.driver.DeployedEndpoint;

/** Crashes engines while a trainer and callers use them. */
class EngineCrashTest {
  @Test
  void engineCrashesInTheMiddleOfStreams() {
    try (SystemRun run = SystemRun.start("engine-crash")) {
      run.startCallers();
      run.startTraining(0);
      for (DeployedEndpoint engine : run.endpoints(POOL).subList(0, 2)) {
        run.awaitSamples(30);
        run.crash(engine, 1_000);
      }
      run.awaitSamples(150);
      run.finishTraining();
      run.finishCallers();
      run.assertInvariants();
    }
  }
}
