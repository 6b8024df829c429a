package org.sycamoretrack.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.sycamoretrack.standins.driver.CallerReport;
import org.sycamoretrack.standins.driver.CallerStandin;
import org.sycamoretrack.standins.driver.DeployedEndpoint;
import org.sycamoretrack.standins.driver.Deployment;
import org.sycamoretrack.standins.driver.Deployment.CallerKind;
import org.sycamoretrack.standins.driver.Deployment.PoolType;
import org.sycamoretrack.standins.driver.DriverContext;
import org.sycamoretrack.standins.driver.LaunchOptions;
import org.sycamoretrack.standins.driver.Launcher;
import org.sycamoretrack.standins.driver.NodeAddress;
import org.sycamoretrack.standins.driver.TrainerOptions;
import org.sycamoretrack.standins.driver.TrainerReport;
import org.sycamoretrack.standins.driver.TrainerStandin;
import org.sycamoretrack.standins.history.History;
import org.sycamoretrack.standins.history.HistoryRecord;
import org.sycamoretrack.standins.history.HistoryRecord.PollEnd;
import org.sycamoretrack.standins.history.HistoryRecord.PollEnded;
import org.sycamoretrack.standins.history.HistoryRecord.RequestAnswered;
import org.sycamoretrack.standins.history.HistoryRecord.RequestBroken;
import org.sycamoretrack.standins.history.HistoryRecord.RequestRefused;
import org.sycamoretrack.standins.history.HistoryRecord.RequestSent;
import org.sycamoretrack.standins.history.InvariantChecker;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.standins.process.Standins;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * A deployment of real processes for system tests, with a trainer and callers, whose recorded
 * history is checked for invariants at the end. It has two zones with two nodes each, four engines
 * and two plain services.
 */
final class SystemRun implements AutoCloseable {
  static final String POOL = "modellhall";
  static final String SERVICE = "orderdisk";
  static final String SCORER = "scoring";
  static final String TRACK = "cut-patterns";

  /**
   * Maximum number of bookings in flight on a node when it dies, given the request rate of the
   * callers.
   */
  private static final int MAX_UNSETTLED = 5;

  private static final long STEP_TIMEOUT_MS = 90_000;
  private static final long AWAIT_TIMEOUT_MS = 60_000;
  private static final int MAX_STEPS = 10_000;
  private static final int UNBOUNDED_VERSION_LAG = 10_000;

  private final Launcher launcher;
  private final AtomicInteger sentCount = new AtomicInteger();
  private final List<CallerStandin> callers = new ArrayList<>();
  private TrainerStandin trainer;
  private CompletableFuture<TrainerReport> training;

  private SystemRun(Launcher launcher) {
    this.launcher = launcher;
  }

  /** Starts the processes; their logs are written to a directory named after the test. */
  static SystemRun start(String testName, String... platformOptions) {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    List<String> jvm =
        List.of(
            java,
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "--add-opens",
            "java.base/jdk.internal.misc=ALL-UNNAMED",
            "-cp",
            System.getProperty("java.class.path"));
    LaunchOptions options =
        new LaunchOptions(
            command(jvm, "-Xmx64m", "org.sycamoretrack.daemon.process.Sycamoretrackd"),
            command(jvm, "-Xmx256m", Standins.class.getName()),
            Path.of("target", "system", testName),
            List.of(platformOptions),
            List.of("--max-batch", "32"),
            Map.of());
    return new SystemRun(Launcher.start(deployment(), options));
  }

  private static List<String> command(List<String> jvm, String memory, String mainClass) {
    List<String> command = new ArrayList<>(jvm);
    command.add(1, memory);
    command.add(mainClass);
    return command;
  }

  private static Deployment deployment() {
    return new Deployment(
        "fyllnadsgruppen",
        "svealand",
        List.of("svea-a", "svea-b"),
        2,
        0,
        0,
        List.of(
            new Deployment.Pool(POOL, PoolType.model, 4, 150, 4_000, 0, 0),
            new Deployment.Pool(SERVICE, PoolType.service, 2, 0, 0, 5, 0),
            new Deployment.Pool(SCORER, PoolType.service, 1, 0, 0, 1, 0)),
        List.of(
            new Deployment.Trainer(
                TRACK, "svea-a", POOL, SCORER, MAX_STEPS, 16, 8, 512, UNBOUNDED_VERSION_LAG, 0)),
        List.of(
            new Deployment.Caller("terminals", "svea-a", CallerKind.lookup, SERVICE, 20, 0),
            new Deployment.Caller("counter", "svea-b", CallerKind.booking, SERVICE, 10, 0),
            new Deployment.Caller("assistants", "svea-b", CallerKind.completion, POOL, 5, 24)));
  }

  Launcher launcher() {
    return launcher;
  }

  private DriverContext context() {
    return launcher.context();
  }

  NodeAddress node(int index) {
    return context().balancer().nodes().get(index);
  }

  List<DeployedEndpoint> endpoints(String pool) {
    return launcher.endpoints().stream()
        .filter(endpoint -> endpoint.pool().name().equals(pool))
        .toList();
  }

  void startCallers() {
    context()
        .deployment()
        .callers()
        .forEach(caller -> callers.add(CallerStandin.start(context(), caller)));
  }

  /** Starts the trainer, which runs one step after another until {@link #finishTraining}. */
  void startTraining(double abandonShare) {
    TrainerOptions options = new TrainerOptions(1, STEP_TIMEOUT_MS, abandonShare);
    trainer = new TrainerStandin(context(), context().deployment().trainers().get(0), options);
    training = new CompletableFuture<>();
    Thread.ofVirtual().start(() -> training.completeAsync(trainer::run, Runnable::run));
  }

  /** Waits until the trainer has received a number of further samples. */
  void awaitSamples(int more) {
    int wanted = trainer.receivedCount() + more;
    await("samples", () -> trainer.receivedCount() >= wanted);
  }

  /** Waits until the first caller has made a number of further calls. */
  void awaitCalls(int more) {
    int wanted = callers.get(0).callCount() + more;
    await("calls", () -> callers.get(0).callCount() >= wanted);
  }

  /** Waits until the trainer has received every sample of the current step. */
  void awaitRestOfStep() {
    int slots = context().deployment().trainers().get(0).slots();
    int wanted = (trainer.receivedCount() / slots + 1) * slots;
    await("the remaining samples of the step", () -> trainer.receivedCount() >= wanted);
  }

  static void await(String awaited, BooleanSupplier condition) {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("waiting for " + awaited).isLessThan(endNs);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
  }

  /**
   * Lets the current step complete, and asserts that every sample was delivered exactly once and
   * correctly.
   */
  void finishTraining() {
    trainer.requestStop();
    TrainerReport report = training.orTimeout(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    assertThat(report.stepsCompleted()).isPositive();
    assertThat(report.samplesDelivered()).isEqualTo(report.samplesExpected());
    assertThat(
            report.duplicates()
                + report.missing()
                + report.stale()
                + report.wrongVersion()
                + report.wrongScore())
        .as(report.toString())
        .isZero();
  }

  /** Stops the callers and asserts that no call failed and none has an unknown outcome. */
  void finishCallers() {
    assertThat(stopCallers()).as("unsettled calls").isZero();
  }

  /**
   * Like {@link #finishCallers} after a node has died, which leaves the outcome of calls that it
   * was running unknown.
   */
  void finishCallersAfterNodeDeath() {
    assertThat(stopCallers()).as("unsettled calls").isLessThanOrEqualTo(MAX_UNSETTLED);
  }

  private int stopCallers() {
    int unsettled = 0;
    for (CallerStandin caller : callers) {
      CallerReport report = caller.stop();
      assertThat(report.requests()).isPositive();
      assertThat(caller.failureMessages()).as(report.toString()).isEmpty();
      unsettled += report.unsettled();
    }
    return unsettled;
  }

  /** Collects the journals and asserts that the history violates no invariant. */
  void assertInvariants() {
    clearFaults();
    launcher.collectJournals();
    assertThat(InvariantChecker.check(context().history())).isEmpty();
  }

  /** Asserts that every request that was sent got a response before its timeout. */
  void assertEveryRequestAnswered() {
    assertThat(context().history().all(RequestBroken.class))
        .filteredOn(RequestBroken::maybeSent)
        .isEmpty();
  }

  /** Sends a request and returns the response, whatever its status. */
  HttpResponse call(String method, InetSocketAddress address, String target, ObjectNode body) {
    HttpRequest.Builder request = HttpRequest.builder(method, address, target).timeoutMs(20_000);
    return context().call((body == null ? request : request.json(body)).build());
  }

  /** Returns a fault as JSON without parameters. */
  static ObjectNode fault(FaultKind kind) {
    return Json.object().put("kind", kind.wireName());
  }

  /** Injects a fault into an endpoint or the platform. */
  void addFault(InetSocketAddress address, ObjectNode fault) {
    assertThat(call("POST", address, "/faults", fault).status()).isEqualTo(200);
  }

  /** Returns how many injected faults have occurred at an endpoint or the platform. */
  int faultCount(InetSocketAddress address) {
    return call("GET", address, "/faults", null).json().path("occurred").asInt();
  }

  /** Removes the faults of all endpoints and of the platform. */
  void clearFaults() {
    clearFaults(launcher.platform());
    launcher.endpoints().forEach(endpoint -> clearFaults(endpoint.address()));
  }

  void clearFaults(InetSocketAddress address) {
    call("DELETE", address, "/faults", null);
  }

  /** Crashes an engine, which restarts after a delay, or never if the delay is negative. */
  void crash(DeployedEndpoint engine, int restartAfterMs) {
    ObjectNode body = Json.object().put("restartAfterMs", restartAfterMs);
    call("POST", engine.address(), "/crash", body);
  }

  /** Publishes a version in the weight store. */
  void publish(int version) {
    String target = "/models/" + POOL + "/versions/" + version;
    assertThat(call("PUT", launcher.platform(), target, null).status()).isEqualTo(200);
  }

  /** Returns the highest fencing token that an engine has seen. */
  long fence(DeployedEndpoint engine) {
    return call("GET", engine.address(), "/weights", null).json().path("fence").asLong();
  }

  /** Commands an engine to load a version. */
  void sendLoadCommand(DeployedEndpoint engine, int version, long fence) {
    ObjectNode command =
        Json.object()
            .put("orderId", "test")
            .put("order", "load-weights")
            .put("version", version)
            .put("fence", fence)
            .put("node", "test");
    assertThat(call("POST", engine.address(), "/orders", command).status()).isEqualTo(202);
  }

  /** Kills all nodes at once. */
  void killAllNodes() {
    launcher.nodeIds().forEach(launcher::killNode);
  }

  /** Kills all nodes at once and restarts them with the same ids. */
  void restartAllNodes() {
    killAllNodes();
    launcher.startNodes(launcher.nodeIds());
  }

  /** Waits until a node's state dump shows that it owns a step, and returns the id of that node. */
  String stepOwner() {
    AtomicReference<String> owner = new AtomicReference<>();
    await("the owner of the step", () -> findStepOwner(owner));
    return owner.get();
  }

  private boolean findStepOwner(AtomicReference<String> owner) {
    for (NodeAddress node : context().balancer().nodes()) {
      JsonNode state = call("GET", node.operator(), "/state", null).json();
      if (!state.path("requests").path("steps").isEmpty()) {
        owner.set(node.nodeId());
        return true;
      }
    }
    return false;
  }

  /** Returns the number of polls that the trainer has abandoned. */
  long abandonedPolls() {
    return context().history().all(PollEnded.class).stream()
        .filter(poll -> poll.end() == PollEnd.ABANDONED)
        .count();
  }

  /** Sends a booking with an idempotency key through a node. */
  CompletableFuture<HttpResponse> book(NodeAddress node, String target, String key) {
    String requestId = key + "-" + sentCount.incrementAndGet();
    History history = context().history();
    history.add(
        new RequestSent(
            System.currentTimeMillis(), requestId, node.nodeId(), false, key, null, null));
    HttpRequest request =
        HttpRequest.builder("POST", node.caller(), target)
            .header("idempotency-key", key)
            .header("x-request-id", requestId)
            .json(Json.object().put("stall", key))
            .timeoutMs(20_000)
            .build();
    return context()
        .client()
        .call(request)
        .whenComplete((response, failure) -> history.add(toHistoryRecord(requestId, response)));
  }

  private static HistoryRecord toHistoryRecord(String requestId, HttpResponse response) {
    long nowMs = System.currentTimeMillis();
    if (response == null) {
      return new RequestBroken(nowMs, requestId, true);
    }
    JsonNode json = response.json();
    if (response.status() == 200) {
      return new RequestAnswered(nowMs, requestId, json.toString(), 0);
    }
    JsonNode error = json.path("error");
    return new RequestRefused(
        nowMs, requestId, error.path("code").asText(), error.path("outcome").asText());
  }

  /** Returns how often the call with a key was executed. */
  long executions(String key) {
    return endpoints(SERVICE).stream()
        .flatMap(service -> executions(service).valueStream())
        .filter(call -> call.path("idempotencyKey").asText().equals(key))
        .count();
  }

  private JsonNode executions(DeployedEndpoint service) {
    String target = "/executions?after=0";
    return call("GET", service.address(), target, null).json().path("executions");
  }

  /** Returns the number of requests that an endpoint has accepted so far. */
  int workCount(DeployedEndpoint endpoint) {
    return endpoint.pool().name().equals(SERVICE)
        ? executions(endpoint).size()
        : statistics(endpoint).path("streams").asInt();
  }

  static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for a thread to end", e);
    }
  }

  JsonNode statistics(DeployedEndpoint engine) {
    return call("GET", engine.address(), "/statistics", null).json();
  }

  @Override
  public void close() {
    callers.forEach(CallerStandin::close);
    launcher.close();
  }
}
