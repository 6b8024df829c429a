package org.sycamoretrack.standins.driver;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.standins.driver.Deployment.CallerKind;
import org.sycamoretrack.standins.driver.Deployment.PoolType;
import org.sycamoretrack.standins.history.History;
import org.sycamoretrack.standins.history.HistoryRecord.PollEnd;
import org.sycamoretrack.standins.history.HistoryRecord.PollEnded;
import org.sycamoretrack.standins.history.HistoryRecord.RequestSent;
import org.sycamoretrack.standins.process.PlatformStandin;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;

/** Tests that trainers and callers count each fault of a node, and nothing else. */
class DriverTest {
  private static final Deployment.Trainer TRAINER =
      new Deployment.Trainer("t", "svea-a", "modellhall", null, 1, 2, 3, 2, 1, 0);
  private static final TrainerOptions OPTIONS = new TrainerOptions(1, 20_000, 0);

  private EventLoopGroup group;
  private PlatformStandin platform;

  @BeforeEach
  void start() {
    group = EventLoops.start("test", 2);
    platform = PlatformStandin.builder().group(group).start();
    platform.weights().publish("modellhall", 3);
    platform.weights().publish("modellhall", 5);
  }

  @AfterEach
  void stop() {
    platform.close();
    EventLoops.stop(group);
  }

  private DriverContext context(NodeAddress... nodes) {
    return context(TRAINER, 0, nodes);
  }

  private DriverContext context(
      Deployment.Trainer trainer, double unscorableShare, NodeAddress... nodes) {
    Deployment deployment =
        new Deployment(
            "d",
            "r",
            List.of("svea-a", "svea-b"),
            1,
            0,
            0,
            List.of(
                new Deployment.Pool("modellhall", PoolType.model, 1, 0, 0, 0, 0),
                new Deployment.Pool("scoring", PoolType.service, 1, 0, 0, 1, unscorableShare)),
            List.of(trainer),
            List.of());
    Balancer balancer = new Balancer();
    balancer.setNodes(List.of(nodes));
    HttpClient client = new HttpClient(group, 1_000);
    return new DriverContext(client, balancer, platform.address(), deployment, new History());
  }

  @ParameterizedTest
  @CsvSource({
    "NONE, 0, 0, 0",
    "STEP_UNKNOWN, 0, 0, 0",
    "SERVER_ERROR, 0, 0, 0",
    "BROKEN, 0, 0, 0",
    "SAMPLE_TWICE, 6, 0, 0",
    "STALE_SAMPLE, 0, 6, 0",
    "SPANS_SHORT, 0, 0, 6",
    "UNPUBLISHED_VERSION, 0, 0, 1"
  })
  void trainerReportsFaultsOfNode(
      FakeNode.Fault fault, int duplicates, int stale, int wrongVersion) {
    try (FakeNode bad = new FakeNode(group, fault, 1);
        FakeNode good = new FakeNode(group, FakeNode.Fault.NONE, 0)) {
      DriverContext context = context(bad.address("n1", "svea-a"), good.address("n2", "svea-b"));
      TrainerReport report = new TrainerStandin(context, TRAINER, OPTIONS).run();
      assertThat(report.stepsCompleted()).isEqualTo(1);
      assertThat(report.samplesDelivered()).isEqualTo(6);
      assertThat(report.duplicates()).isEqualTo(duplicates);
      assertThat(report.stale()).isEqualTo(stale);
      assertThat(report.wrongVersion()).isEqualTo(wrongVersion);
    }
  }

  /** The node delivers all samples without a score. */
  @ParameterizedTest
  @CsvSource({"scoring, 0, 6", "scoring, 1, 0", ", 0, 0"})
  void trainerExpectsAScoreUnlessTheScorerFailsForTheText(
      String scorer, double unscorableShare, int wrongScores) {
    Deployment.Trainer trainer =
        new Deployment.Trainer("t", "svea-a", "modellhall", scorer, 1, 2, 3, 2, 1, 0);
    try (FakeNode node = new FakeNode(group, FakeNode.Fault.NONE, 0)) {
      DriverContext context = context(trainer, unscorableShare, node.address("n1", "svea-a"));
      TrainerReport report = new TrainerStandin(context, trainer, OPTIONS).run();
      assertThat(report.samplesDelivered()).isEqualTo(6);
      assertThat(report.wrongScore()).isEqualTo(wrongScores);
    }
  }

  @Test
  void trainerReportsMissingSamplesAfterTimeout() {
    try (FakeNode bad = new FakeNode(group, FakeNode.Fault.BROKEN, Integer.MAX_VALUE)) {
      TrainerOptions options = new TrainerOptions(1, 300, 0);
      DriverContext context = context(bad.address("n1", "svea-a"));
      TrainerReport report = new TrainerStandin(context, TRAINER, options).run();
      assertThat(report.missing()).isEqualTo(6);
      assertThat(report.stepsCompleted()).isZero();
    }
  }

  @Test
  void trainerAbandonsPollBeforeNextOne() {
    try (FakeNode silent = new FakeNode(group, FakeNode.Fault.SILENT, 3)) {
      DriverContext context = context(silent.address("n1", "svea-a"));
      TrainerOptions abandonAll = new TrainerOptions(1, 20_000, 1);
      TrainerReport report = new TrainerStandin(context, TRAINER, abandonAll).run();
      assertThat(report.samplesDelivered()).isEqualTo(6);
      assertThat(context.history().all(PollEnded.class))
          .extracting(PollEnded::end)
          .startsWith(PollEnd.ABANDONED, PollEnd.ABANDONED, PollEnd.ABANDONED);
    }
  }

  private static Deployment.Caller caller(CallerKind kind) {
    String target = kind == CallerKind.completion ? "modellhall" : "orderdisk";
    return new Deployment.Caller("c", "svea-a", kind, target, 100, 8);
  }

  private static CallerReport call(DriverContext context, CallerKind kind, int count) {
    try (CallerStandin standin = CallerStandin.start(context, caller(kind))) {
      while (standin.callCount() < count) {
        Thread.onSpinWait();
      }
      return standin.stop();
    }
  }

  @ParameterizedTest
  @EnumSource(CallerKind.class)
  void callerAcceptsCompleteResponses(CallerKind kind) {
    try (FakeNode node = new FakeNode(group, FakeNode.Fault.NONE, 0)) {
      assertThat(call(context(node.address("n1", "svea-a")), kind, 4).failed()).isZero();
    }
  }

  @ParameterizedTest
  @CsvSource({
    "completion, CUT_TEXT, 1, 0, 0",
    "lookup, WRONG_TEXT, 1, 0, 0",
    "booking, WRONG_TEXT, 1, 0, 0",
    "lookup, REFUSED_NOT_RUN, 0, 0, 1",
    "booking, REFUSED_NOT_RUN, 0, 0, 1",
    "lookup, BROKEN, 0, 0, 1",
    "booking, BROKEN, 0, 0, 1",
    "booking, REFUSED_UNKNOWN, 0, 0, 1",
    "booking, CLAIM_UNSETTLED, 0, 1, 0"
  })
  void callerReportsFaultsOfNode(
      CallerKind kind, FakeNode.Fault fault, int failed, int unsettled, int retries) {
    try (FakeNode node = new FakeNode(group, fault, 1)) {
      DriverContext context = context(node.address("n1", "svea-a"));
      CallerReport report = call(context, kind, 4);
      assertThat(report.failed()).isEqualTo(failed);
      assertThat(report.unsettled()).isEqualTo(unsettled);
      assertThat(report.retries()).isEqualTo(retries);
      assertThat(context.history().all(RequestSent.class))
          .hasSize(report.requests() + retries)
          .extracting(RequestSent::requestId)
          .doesNotHaveDuplicates();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"quickstart", "fyllnadsgruppen", "galle-road"})
  void parsesDeploymentFilesOfProject(String name) {
    Path file = Path.of(System.getProperty("project.root"), "deploy", name + ".json");
    assertThat(Deployment.read(file).name()).isEqualTo(name);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "[",
        "{\"name\": \"n\", \"region\": \"r\", \"zones\": []}",
        "{\"name\": \"n\", \"unknown\": 1}",
        "{\"name\": \"n\", \"region\": \"r\", \"zones\": [\"z\"], \"nodesPerZone\": 0}"
      })
  void rejectsInvalidDeployments(String json) {
    assertThatThrownBy(() -> Deployment.parse(json.getBytes(StandardCharsets.UTF_8)))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
