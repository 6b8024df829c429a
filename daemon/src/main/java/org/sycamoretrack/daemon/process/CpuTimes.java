package org.sycamoretrack.daemon.process;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Reads the CPU time that this process and its threads have used. */
final class CpuTimes {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private CpuTimes() {}

  /** Returns the CPU time of the process in seconds, NaN if it is not available. */
  static double processSeconds() {
    if (ManagementFactory.getOperatingSystemMXBean()
        instanceof com.sun.management.OperatingSystemMXBean system) {
      return system.getProcessCpuTime() / NANOS_PER_SECOND;
    }
    return Double.NaN;
  }

  /** Returns the CPU time of a thread in seconds, NaN if it is not available. */
  static double threadSeconds(long threadId) {
    if (threadId == 0 || !THREADS.isThreadCpuTimeSupported()) {
      return Double.NaN;
    }
    return THREADS.getThreadCpuTime(threadId) / NANOS_PER_SECOND;
  }
}
