package org.sycamoretrack.core.request;

import java.util.List;

/**
 * Lines of the claim ledger that are written in one transaction.
 *
 * @param number the position in the ledger of the key range, without gaps and across owners
 * @param epoch the epoch of the owner that wrote it
 * @param writer the process that wrote it
 * @param entries the lines, in order
 */
public record ClaimBatch(long number, long epoch, String writer, List<ClaimEntry> entries) {
  /** Copies the entries. */
  public ClaimBatch {
    entries = List.copyOf(entries);
  }

  /** Returns the time of the newest entry, in milliseconds since the epoch. */
  public long newestAtMs() {
    long newest = Long.MIN_VALUE;
    for (ClaimEntry entry : entries) {
      newest = Math.max(newest, entry.atMs());
    }
    return newest;
  }
}
