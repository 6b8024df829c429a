package org.sycamoretrack.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sycamoretrack.daemon.system.SystemRun.fault;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.standins.driver.ConfigurationClient;
import org.sycamoretrack.standins.driver.NodeAddress;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.transport.process.Json;

/**
 * Makes the platform unavailable or lose responses while a trainer, callers or operators use the
 * nodes.
 */
class PlatformOutageTest {
  @ParameterizedTest
  @EnumSource(names = {"OUTAGE", "REFUSED"})
  void platformOutDuringAStepAndBack(FaultKind kind) {
    try (SystemRun run = SystemRun.start("platform-" + kind.wireName())) {
      run.startCallers();
      run.startTraining(0);
      run.awaitSamples(20);
      run.addFault(run.launcher().platform(), fault(kind));
      run.awaitRestOfStep();
      assertThat(run.faultCount(run.launcher().platform())).isPositive();
      run.clearFaults(run.launcher().platform());
      run.awaitSamples(20);
      run.finishTraining();
      run.finishCallers();
      run.assertInvariants();
    }
  }

  @Test
  void toleratesPlatformResponsesLostAfterTheWrite() {
    try (SystemRun run = SystemRun.start("platform-lost-answers")) {
      run.addFault(run.launcher().platform(), fault(FaultKind.LOST_ANSWER).put("share", 0.2));
      run.startCallers();
      run.startTraining(0);
      run.awaitSamples(150);
      run.finishTraining();
      run.finishCallers();
      run.assertInvariants();
    }
  }

  @Test
  void freshNodeStartsWithThePlatformOut() {
    try (SystemRun run = SystemRun.start("fresh-node")) {
      String fresh = run.launcher().nodeIds().get(3);
      run.launcher().stopNode(fresh);
      run.addFault(run.launcher().platform(), fault(FaultKind.OUTAGE));
      run.launcher().startNodes(List.of(fresh));
      ConfigurationClient operator = run.launcher().operator();
      operator.awaitConfigurationApplied();
      assertThat(
              run.call("GET", run.node(3).caller(), "/services/orderdisk/pallets/1", null).status())
          .isEqualTo(200);
      run.assertInvariants();
    }
  }

  @Test
  void concurrentOperatorChangesAreAllApplied() {
    try (SystemRun run = SystemRun.start("operators-race")) {
      ConfigurationClient operator = run.launcher().operator();
      List<Thread> operators =
          IntStream.range(0, 4)
              .mapToObj(
                  i ->
                      Thread.ofVirtual()
                          .start(
                              () ->
                                  operator.put(
                                      "pools",
                                      "extra-" + i,
                                      Map.of(),
                                      Json.object().put("type", "service"))))
              .toList();
      operators.forEach(SystemRun::join);
      operator.awaitConfigurationApplied();
      for (int i = 0; i < 4; i++) {
        for (int node = 0; node < 4; node++) {
          assertThat(
                  run.call("GET", run.node(node).operator(), "/v1/resources/pools/extra-" + i, null)
                      .status())
              .isEqualTo(200);
        }
      }
      run.assertInvariants();
    }
  }

  @Test
  void changeAcceptedWhileAZoneIsCutOffIsNotRevertedWhenItComesBack() {
    try (SystemRun run = SystemRun.start("zone-cut-off")) {
      List<String> zone = run.launcher().nodeIds().subList(2, 4);
      List<NodeAddress> all = run.launcher().context().balancer().nodes();
      zone.forEach(run.launcher()::suspendNode);
      run.launcher().context().balancer().setNodes(all.subList(0, 2));
      ConfigurationClient operator = run.launcher().operator();
      operator.put("pools", "extra", Map.of(), Json.object().put("type", "service"));
      zone.forEach(run.launcher()::resumeNode);
      run.launcher().context().balancer().setNodes(all);
      operator.awaitConfigurationApplied();
      operator.put("pools", "extra-2", Map.of(), Json.object().put("type", "service"));
      operator.awaitConfigurationApplied();
      for (NodeAddress node : all) {
        String resources =
            run.call("GET", node.operator(), "/v1/configuration", null).json().toString();
        assertThat(resources).contains("\"extra\"", "\"extra-2\"");
      }
      run.assertInvariants();
    }
  }
}
