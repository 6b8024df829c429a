package org.sycamoretrack.bench.process;

import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.Objects;
import java.util.function.Supplier;

/** Measures the time and the retained memory of operations on this machine. */
public final class MicroBenchmark {
  private static final int ROUNDS = 7;
  private static final long WARM_UP_NS = 200_000_000;
  private static final long ROUND_NS = 40_000_000;
  private static final double NS_PER_US = 1_000;
  private static final double BYTES_PER_MB = 1 << 20;

  private static volatile Object sink;

  private MicroBenchmark() {}

  /**
   * Returns the median time of an operation over several rounds after a warm-up.
   *
   * @param operation the operation; its result is stored, so that the JIT compiler can't eliminate
   *     it
   * @return microseconds
   */
  public static double medianMicros(Supplier<?> operation) {
    runFor(operation, WARM_UP_NS);
    double[] rounds = new double[ROUNDS];
    for (int i = 0; i < ROUNDS; i++) {
      rounds[i] = runFor(operation, ROUND_NS);
    }
    Arrays.sort(rounds);
    return rounds[ROUNDS / 2] / NS_PER_US;
  }

  private static double runFor(Supplier<?> operation, long durationNs) {
    long startNs = System.nanoTime();
    long count = 0;
    long elapsedNs = 0;
    while (elapsedNs < durationNs) {
      sink = operation.get();
      count++;
      elapsedNs = System.nanoTime() - startNs;
    }
    Objects.requireNonNull(sink, "the operation returned null");
    return (double) elapsedNs / count;
  }

  /**
   * Returns the memory that an object retains.
   *
   * @param factory makes the object
   * @return megabytes
   */
  public static double retainedMegabytes(Supplier<?> factory) {
    sink = null;
    long before = usedBytes();
    Object kept = factory.get();
    try {
      return Math.max(0, usedBytes() - before) / BYTES_PER_MB;
    } finally {
      Reference.reachabilityFence(kept);
    }
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
