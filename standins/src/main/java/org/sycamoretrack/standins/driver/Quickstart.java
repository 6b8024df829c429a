package org.sycamoretrack.standins.driver;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sycamoretrack.standins.history.Invariant;
import org.sycamoretrack.standins.history.InvariantChecker;
import org.sycamoretrack.standins.history.Violation;

/**
 * Runs a deployment's trainers and callers concurrently and checks what they received.
 *
 * <p>The callers start before the first step is opened and stop after the last trainer has ended.
 * Then the journals of the endpoints are collected and the complete history is checked.
 */
public final class Quickstart {
  private static final long STEP_TIMEOUT_MS = 180_000;
  private static final int PROGRESS_PERIOD_MS = 1_000;
  private static final int MAX_VIOLATIONS_SHOWN = 10;

  private final Launcher launcher;
  private final Consumer<String> progress;
  private final List<TrainerStandin> trainers = new ArrayList<>();
  private final List<CallerStandin> callers = new ArrayList<>();
  private boolean clean;

  /**
   * Creates a run.
   *
   * @param launcher the running deployment
   * @param progress receives human-readable progress lines
   */
  public Quickstart(Launcher launcher, Consumer<String> progress) {
    this.launcher = launcher;
    this.progress = progress;
  }

  /** Runs all trainers to completion and returns the combined counters. */
  public QuickstartReport run() {
    DriverContext context = launcher.context();
    long startNs = System.nanoTime();
    long seed = 1;
    for (Deployment.Trainer trainer : context.deployment().trainers()) {
      TrainerOptions options = new TrainerOptions(seed++, STEP_TIMEOUT_MS, 0);
      trainers.add(new TrainerStandin(context, trainer, options));
    }
    for (Deployment.Caller caller : context.deployment().callers()) {
      callers.add(CallerStandin.start(context, caller));
    }
    ScheduledExecutorService printer = Executors.newSingleThreadScheduledExecutor();
    printer.scheduleAtFixedRate(
        this::showProgress, PROGRESS_PERIOD_MS, PROGRESS_PERIOD_MS, TimeUnit.MILLISECONDS);
    try {
      List<TrainerReport> trainerReports = train();
      List<CallerReport> callerReports = callers.stream().map(CallerStandin::stop).toList();
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
      showProgress();
      return evaluate(trainerReports, callerReports, elapsedMs);
    } finally {
      printer.shutdownNow();
      callers.forEach(CallerStandin::close);
    }
  }

  /** Returns whether all samples and responses were correct and no invariant was violated. */
  public boolean isClean() {
    return clean;
  }

  private List<TrainerReport> train() {
    List<CompletableFuture<TrainerReport>> runs = new ArrayList<>();
    for (TrainerStandin trainer : trainers) {
      CompletableFuture<TrainerReport> run = new CompletableFuture<>();
      Thread.ofVirtual().start(() -> run.completeAsync(trainer::run, Runnable::run));
      runs.add(run);
    }
    return runs.stream().map(CompletableFuture::join).toList();
  }

  private QuickstartReport evaluate(
      List<TrainerReport> trainerReports, List<CallerReport> callerReports, long elapsedMs) {
    for (int i = 0; i < callerReports.size(); i++) {
      progress.accept(
          launcher.context().deployment().callers().get(i).name() + ": " + callerReports.get(i));
    }
    callers.forEach(
        caller ->
            caller.failureMessages().forEach(message -> progress.accept("failed: " + message)));
    launcher.collectJournals();
    List<Violation> violations = InvariantChecker.check(launcher.context().history());
    violations.stream()
        .limit(MAX_VIOLATIONS_SHOWN)
        .forEach(violation -> progress.accept("violation: " + violation));
    long wrongVersions =
        violations.stream()
            .filter(violation -> violation.invariant() == Invariant.TRUE_VERSIONS)
            .count();
    QuickstartReport report =
        QuickstartReport.of(trainerReports, callerReports, (int) wrongVersions, elapsedMs);
    int wrongScores = trainerReports.stream().mapToInt(TrainerReport::wrongScore).sum();
    progress.accept("violations: " + violations.size() + ", wrong scores: " + wrongScores);
    clean = report.isClean() && violations.isEmpty() && wrongScores == 0;
    return report;
  }

  private void showProgress() {
    StringBuilder line = new StringBuilder();
    List<Deployment.Trainer> definitions = launcher.context().deployment().trainers();
    for (int i = 0; i < trainers.size(); i++) {
      Deployment.Trainer definition = definitions.get(i);
      line.append(definition.name())
          .append(' ')
          .append(trainers.get(i).receivedCount())
          .append('/')
          .append(definition.slots() * definition.steps())
          .append(" samples, ");
    }
    int requests = callers.stream().mapToInt(CallerStandin::callCount).sum();
    int failed = callers.stream().mapToInt(CallerStandin::failedCount).sum();
    progress.accept(line.append(requests + " requests, " + failed + " failed").toString());
  }
}
