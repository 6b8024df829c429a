package org.sycamoretrack.bench.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.bench.request.AdmissionBenchmark;
import org.sycamoretrack.bench.request.SelectionBenchmark;
import org.sycamoretrack.bench.request.StragglerBenchmark;
import org.sycamoretrack.bench.version.WaveBenchmark;

/** Command line program that runs benchmarks by name; {@code all} runs each of them. */
public final class Bench {
  private static final List<Benchmark> BENCHMARKS =
      List.of(
          new AdmissionBenchmark(),
          new SelectionBenchmark(),
          new StragglerBenchmark(),
          new WaveBenchmark(),
          new OverheadBenchmark(),
          new CapacityBenchmark());
  private static final int EXIT_USAGE = 2;

  @Parameter(
      description = "NAME... (admission, selection, stragglers, waves, overhead, capacity or all)")
  private List<String> names = new ArrayList<>();

  @Parameter(names = "--seed", description = "seed of the random number generators")
  private long seed = 1;

  @Parameter(
      names = {"-h", "--help"},
      help = true,
      description = "print this help")
  private boolean help;

  private Bench() {}

  /**
   * Runs the named benchmarks and prints their reports. Exits with 0 when they complete, whether or
   * not their bounds are met, and with 2 for invalid arguments.
   *
   * @param args names and options
   */
  public static void main(String[] args) {
    Bench bench = new Bench();
    JCommander commander = JCommander.newBuilder().addObject(bench).programName("./bench").build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("error invalid-arguments: " + e.getMessage());
      System.exit(EXIT_USAGE);
    }
    if (bench.help || bench.names.isEmpty()) {
      commander.usage();
      return;
    }
    bench.run();
  }

  private void run() {
    List<Benchmark> selected =
        BENCHMARKS.stream()
            .filter(benchmark -> names.contains("all") || names.contains(benchmark.name()))
            .toList();
    if (selected.isEmpty()) {
      System.err.println("error unknown-measure: see ./bench --help");
      System.exit(EXIT_USAGE);
    }
    selected.forEach(benchmark -> benchmark.run(seed).print(System.out));
  }
}
