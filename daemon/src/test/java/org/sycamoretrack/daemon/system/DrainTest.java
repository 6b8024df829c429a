package org.sycamoretrack.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sycamoretrack.daemon.system.SystemRun.POOL;
import static org.sycamoretrack.daemon.system.SystemRun.SERVICE;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.standins.driver.Endpoint;
import org.sycamoretrack.standins.history.HistoryRecord.EndpointLeaving;
import org.sycamoretrack.standins.history.HistoryRecord.EndpointReturned;
import org.sycamoretrack.transport.process.Json;

/** Endpoints that leave under load, while the host list says so ten seconds late. */
class DrainTest {
  private static final String[] LATE_HOST_LIST = {"--host-lag-ms", "10000"};

  private static void leave(SystemRun run, Endpoint endpoint) {
    run.launcher()
        .context()
        .history()
        .add(new EndpointLeaving(System.currentTimeMillis(), endpoint.name()));
  }

  @ParameterizedTest
  @ValueSource(strings = {POOL, SERVICE})
  void endpointDrainedByAnOperatorGetsNoNewWork(String pool) {
    try (SystemRun run = SystemRun.start("drain-" + pool, LATE_HOST_LIST)) {
      Endpoint endpoint = run.endpoints(pool).get(0);
      run.startCallers();
      run.startTraining(0);
      run.awaitSamples(20);
      ObjectNode drain = Json.object().put("kind", "endpoints");
      drain.putObject("selector").putObject("matchLabels").put("name", endpoint.name());
      run.launcher().operator().put("drains", "maintenance", Map.of(), drain);
      leave(run, endpoint);
      run.awaitCalls(150);
      run.launcher()
          .context()
          .history()
          .add(new EndpointReturned(System.currentTimeMillis(), endpoint.name()));
      run.launcher().operator().delete("drains", "maintenance");
      int before = run.workCount(endpoint);
      SystemRun.await("work after the drain", () -> run.workCount(endpoint) > before);
      run.finishTraining();
      run.finishCallers();
      run.assertPromises();
    }
  }

  @Test
  void engineThatSaysItIsLeavingGetsNoNewWork() {
    try (SystemRun run = SystemRun.start("engine-leaving", LATE_HOST_LIST)) {
      Endpoint engine = run.endpoints(POOL).get(0);
      run.startCallers();
      run.startTraining(0);
      run.awaitSamples(20);
      assertThat(
              run.call("PUT", engine.address(), "/leaving", Json.object().put("leaving", true))
                  .status())
          .isEqualTo(200);
      leave(run, engine);
      run.awaitCalls(150);
      run.finishTraining();
      run.finishCallers();
      run.assertPromises();
    }
  }
}
