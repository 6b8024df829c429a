package org.sycamoretrack.daemon.request;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory for finished but undelivered samples of all steps of a node. Thread-safe. */
final class SampleMemoryBudget {
  private final long maxChars;
  private final AtomicLong usedChars = new AtomicLong();

  SampleMemoryBudget(long maxChars) {
    this.maxChars = maxChars;
  }

  /** Adds characters to the use, or releases them if the number is negative. */
  void add(long chars) {
    usedChars.addAndGet(chars);
  }

  /** Returns the number of characters in use. */
  long usedChars() {
    return usedChars.get();
  }

  /** Returns whether further samples may be started. */
  boolean hasRoom() {
    return usedChars.get() < maxChars;
  }
}
