package org.sycamoretrack.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sycamoretrack.daemon.system.SystemRun.POOL;
import static org.sycamoretrack.daemon.system.SystemRun.fault;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.standins.driver.Endpoint;
import org.sycamoretrack.standins.history.HistoryRecord.SampleReceived;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpAnswer;

/** Engines that crash, break answers off and swap weights under a trainer and callers. */
class EngineFailureTest {
  private static final int QUARANTINED = 422;

  @Test
  void engineCrashesInTheMiddleOfStreams() {
    try (SystemRun run = SystemRun.start("engine-crash")) {
      run.startCallers();
      run.startTraining(0);
      for (Endpoint engine : run.endpoints(POOL).subList(0, 2)) {
        run.awaitSamples(30);
        run.crash(engine, 1_000);
      }
      run.awaitSamples(150);
      run.finishTraining();
      run.finishCallers();
      run.assertPromises();
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"TRUNCATED", "CUT_OFF", "MALFORMED"})
  void engineClosesBeforeTheEndMarker(FaultKind kind) {
    try (SystemRun run = SystemRun.start("engine-" + kind.wireName())) {
      ObjectNode fault = fault(kind).put("path", "/v1/completions").put("share", 0.2);
      run.endpoints(POOL).forEach(e -> run.addFault(e.address(), fault.put("afterChunks", 3)));
      run.startCallers();
      run.startTraining(0);
      run.awaitSamples(150);
      run.finishTraining();
      run.finishCallers();
      assertThat(run.faultCount(run.endpoints(POOL).get(0).address())).isPositive();
      run.assertPromises();
    }
  }

  @Test
  void engineSwapsWeightsInTheMiddleOfAnAnswer() {
    try (SystemRun run = SystemRun.start("engine-swaps-weights")) {
      run.startCallers();
      run.startTraining(0);
      run.awaitSamples(10);
      run.publish(2);
      for (Endpoint engine : run.endpoints(POOL)) {
        run.order(engine, 2, run.fence(engine));
      }
      run.awaitSamples(200);
      run.finishTraining();
      run.finishCallers();
      run.assertPromises();
      assertThat(run.launcher().context().history().all(SampleReceived.class))
          .anyMatch(sample -> sample.spans().size() > 1);
    }
  }

  @Test
  void engineSaysThatALoadSucceededAndServesTheOldVersion() {
    try (SystemRun run = SystemRun.start("engine-misreports")) {
      Endpoint engine = run.endpoints(POOL).get(0);
      run.addFault(engine.address(), fault(FaultKind.LOAD_MISREPORTED).put("times", 1));
      run.startTraining(0);
      run.awaitSamples(10);
      run.publish(2);
      run.order(engine, 2, run.fence(engine));
      run.awaitSamples(200);
      run.finishTraining();
      run.assertPromises();
    }
  }

  @Test
  void poisonRequestSentAgainAndAgainCostsTwoEnginesAtMost() {
    try (SystemRun run = SystemRun.start("poison-request")) {
      List<Endpoint> engines = run.endpoints(POOL);
      ObjectNode poison = fault(FaultKind.POISON).put("prompt", "poison");
      engines.forEach(engine -> run.addFault(engine.address(), poison));
      run.startTraining(0);
      run.awaitSamples(20);
      ObjectNode body = Json.object().put("model", POOL).put("prompt", "poison").put("seed", 1);
      for (int i = 0; i < 6; i++) {
        HttpAnswer answer = run.call("POST", run.node(i % 4).caller(), "/v1/completions", body);
        assertThat(answer.status()).as(answer.json().toString()).isEqualTo(QUARANTINED);
      }
      run.awaitSamples(150);
      run.finishTraining();
      assertThat(engines.stream().mapToInt(e -> run.statistics(e).path("crashes").asInt()).sum())
          .isBetween(1, 2);
      run.assertPromises();
    }
  }
}
