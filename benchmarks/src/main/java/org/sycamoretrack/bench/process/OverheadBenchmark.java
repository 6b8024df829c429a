package org.sycamoretrack.bench.process;

import io.netty.channel.EventLoopGroup;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.sycamoretrack.bench.connection.StreamLoadGenerator;
import org.sycamoretrack.standins.driver.Deployment;
import org.sycamoretrack.standins.driver.LaunchOptions;
import org.sycamoretrack.standins.driver.Launcher;
import org.sycamoretrack.standins.driver.NodeAddress;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.request.HttpRequest;

/**
 * Measures the latency that a node adds to a call, and its throughput per core.
 *
 * <p>The node, the platform and the engines run as separate processes; the engines respond as fast
 * as they can. Latency: direct calls to an engine and calls through the node alternate at a tenth
 * of the planned peak, so that both run under the same machine load. Throughput: a fixed number of
 * calls is kept in flight through the node, and its CPU time is read from its metrics before and
 * after.
 */
public final class OverheadBenchmark implements Benchmark {
  private static final String POOL = "overhead";
  private static final int ENGINES = 4;
  private static final int TOKENS = 465;
  private static final String TOKENS_PER_CHUNK = "31";
  private static final double PEAK_REQUESTS_PER_SECOND = 4_300;
  private static final double PEAK_TOKENS_PER_SECOND = 2_000_000;
  private static final double MAX_CORES = 2;
  private static final double MAX_ADDED_P99_MS = 1;
  private static final int WARM_UP_MS = 8_000;
  private static final int LATENCY_MS = 10_000;
  private static final int THROUGHPUT_MS = 10_000;
  private static final int CONCURRENCY = 64;
  private static final double US_PER_MS = 1_000;

  /** Creates the benchmark. */
  public OverheadBenchmark() {}

  @Override
  public String name() {
    return "overhead";
  }

  @Override
  public Report run(long seed) {
    Report report =
        new Report(
            "overhead: one node before " + ENGINES + " engines, " + TOKENS + " tokens a call",
            "what",
            "direct",
            "through the node",
            "difference");
    EventLoopGroup loops = EventLoops.start("load", 2);
    try (Launcher deployment = Launcher.start(deployment(), options())) {
      NodeAddress node = deployment.context().balancer().nodes().get(0);
      InetSocketAddress engine = deployment.endpoints().get(0).address();
      StreamLoadGenerator direct = new StreamLoadGenerator(loops, engine, POOL, TOKENS);
      StreamLoadGenerator viaNode = new StreamLoadGenerator(loops, node.caller(), POOL, TOKENS);
      viaNode.saturate(CONCURRENCY, WARM_UP_MS);
      direct.saturate(CONCURRENCY / ENGINES, WARM_UP_MS / ENGINES);
      measureLatency(direct, viaNode, report, seed);
      measureThroughput(viaNode, new HttpClient(loops, 1_000), node.operator(), report, seed);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while measuring the overhead", e);
    } finally {
      EventLoops.stop(loops);
    }
    return report;
  }

  private static Deployment deployment() {
    Deployment.Pool pool =
        new Deployment.Pool(POOL, Deployment.PoolType.model, ENGINES, 0, 0, 0, 0);
    return new Deployment(
        "overhead", "bench", List.of("zone"), 1, 0, 0, List.of(pool), List.of(), List.of());
  }

  private static LaunchOptions options() {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classPath = System.getProperty("java.class.path");
    String opens = "--add-opens=java.base/jdk.internal.misc=ALL-UNNAMED";
    List<String> node =
        List.of(
            java,
            "-Xmx64m",
            "-XX:+UseSerialGC",
            opens,
            "-cp",
            classPath,
            "org.sycamoretrack.daemon.process.Sycamoretrackd");
    List<String> standin =
        List.of(
            java,
            "-Xmx256m",
            opens,
            "-cp",
            classPath,
            "org.sycamoretrack.standins.process.Standins");
    return new LaunchOptions(
        node,
        standin,
        runDirectory(),
        List.of(),
        List.of("--tokens-per-chunk", TOKENS_PER_CHUNK, "--prefill-time-us", "0"),
        Map.of());
  }

  private static Path runDirectory() {
    try {
      return Files.createTempDirectory(
          new File(System.getProperty("java.io.tmpdir")).toPath(), "sycamoretrack-overhead");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void measureLatency(
      StreamLoadGenerator direct, StreamLoadGenerator viaNode, Report report, long seed)
      throws InterruptedException {
    direct.reset();
    viaNode.reset();
    double pairsPerSecond = PEAK_REQUESTS_PER_SECOND / 10;
    long pairs = (long) (pairsPerSecond * LATENCY_MS / 1_000);
    long periodNanos = (long) (TimeUnit.SECONDS.toNanos(1) / pairsPerSecond / 2);
    CountDownLatch ended = new CountDownLatch((int) (2 * pairs));
    long dueNanos = System.nanoTime();
    for (long i = 0; i < 2 * pairs; i++) {
      dueNanos += periodNanos;
      while (System.nanoTime() - dueNanos < 0) {
        Thread.onSpinWait();
      }
      (i % 2 == 0 ? direct : viaNode).send(ended::countDown);
    }
    ended.await(1, TimeUnit.MINUTES);
    for (double percentile : new double[] {50, 99}) {
      addLatencyRow(direct.latencyUs(), viaNode.latencyUs(), percentile, report);
    }
    report.addRow(
        "failed", Long.toString(direct.failures()), Long.toString(viaNode.failures()), "");
    double directMs = direct.latencyUs().getValueAtPercentile(99) / US_PER_MS;
    double viaNodeMs = viaNode.latencyUs().getValueAtPercentile(99) / US_PER_MS;
    report.addBoundCheck(
        BoundCheck.atMost(
            "overhead", "added p99 ms", viaNodeMs - directMs, directMs, MAX_ADDED_P99_MS, seed));
  }

  private static void addLatencyRow(
      Histogram direct, Histogram viaNode, double percentile, Report report) {
    double directMs = direct.getValueAtPercentile(percentile) / US_PER_MS;
    double viaNodeMs = viaNode.getValueAtPercentile(percentile) / US_PER_MS;
    report.addRow(
        String.format(Locale.ROOT, "p%.0f ms", percentile),
        cell(directMs),
        cell(viaNodeMs),
        cell(viaNodeMs - directMs));
  }

  private static String cell(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }

  private static void measureThroughput(
      StreamLoadGenerator viaNode,
      HttpClient client,
      InetSocketAddress operator,
      Report report,
      long seed)
      throws InterruptedException {
    viaNode.reset();
    double cpuBefore = gauge(client, operator, "sycamoretrack_process_cpu_seconds");
    long startNanos = System.nanoTime();
    viaNode.saturate(CONCURRENCY, THROUGHPUT_MS);
    double elapsedS = (System.nanoTime() - startNanos) / 1e9;
    double cpuS = gauge(client, operator, "sycamoretrack_process_cpu_seconds") - cpuBefore;
    double calls = viaNode.latencyUs().getTotalCount();
    double coresAtPeak = PEAK_REQUESTS_PER_SECOND * cpuS / calls;
    report.addRow("calls a second", "", cell(calls / elapsedS), "");
    report.addRow("failed of these", "", Long.toString(viaNode.failures()), "");
    report.addRow("cores used", "", cell(cpuS / elapsedS), "");
    report.addRow("calls a second and core", "", cell(calls / cpuS), "");
    report.addRow("tokens a second and core", "", cell(calls * TOKENS / cpuS), "");
    report.addRow(
        "cores for the peak",
        "",
        cell(Math.max(coresAtPeak, PEAK_TOKENS_PER_SECOND * cpuS / (calls * TOKENS))),
        "");
    report.addBoundCheck(
        BoundCheck.atMost(
            "overhead", "cores for the peak", coresAtPeak, Double.NaN, MAX_CORES, seed));
  }

  private static double gauge(HttpClient client, InetSocketAddress operator, String name) {
    String text =
        new String(
            client.call(HttpRequest.builder("GET", operator, "/metrics").build()).join().body(),
            java.nio.charset.StandardCharsets.UTF_8);
    return text.lines()
        .filter(line -> line.startsWith(name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
        .findFirst()
        .orElseThrow();
  }
}
