package org.sycamoretrack.bench.process;

/** A benchmark that compares a policy with its baselines. */
public interface Benchmark {
  /** Returns the name that selects the benchmark on the command line. */
  String name();

  /**
   * Runs the benchmark.
   *
   * @param seed the seed of the random number generators
   */
  Report run(long seed);
}
