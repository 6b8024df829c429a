package org.sycamoretrack.bench.process;

/** Compares a policy with its baselines. */
public interface Benchmark {
  /** Returns the name by which it is run. */
  String name();

  /**
   * Runs it.
   *
   * @param seed the seed of all chance
   */
  Report run(long seed);
}
