package org.sycamoretrack.core.request;

import java.util.List;

/**
 * Entries of the claim ledger that are written in one transaction.
 *
 * @param number the sequence number of the batch in the ledger of the key range; numbers have no
 *     gaps and continue across owners
 * @param epoch the epoch of the owner that wrote the batch
 * @param writer the process that wrote the batch
 * @param entries the entries, in order
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
