package org.sycamoretrack.daemon.request;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the text of finished, undelivered samples of all steps of a node. Thread-safe. */
final class SampleMemoryBudget {
  private final long maxChars;
  private final AtomicLong usedChars = new AtomicLong();

  SampleMemoryBudget(long maxChars) {
    this.maxChars = maxChars;
  }

  /** Adds characters, or frees them when negative. */
  void add(long chars) {
    usedChars.addAndGet(chars);
  }

  /** Returns the characters in use. */
  long usedChars() {
    return usedChars.get();
  }

  /** Returns whether more samples may be started before others are delivered. */
  boolean hasRoom() {
    return usedChars.get() < maxChars;
  }
}
