package org.sycamoretrack.core.request;

/**
 * The limits of the {@link ClaimLedger} of one key range.
 *
 * @param maxKeys the largest number of keys that are kept
 * @param maxResponseBytes the largest size of the response bodies in memory; evicted responses are
 *     read back on demand
 * @param maxBatchEntries the largest number of entries in one batch
 * @param maxBatchBytes the largest size of the response bodies in one batch, unless a single one
 *     exceeds it
 * @param retentionMs how long a key is kept after its last entry, in milliseconds
 */
public record ClaimLimits(
    int maxKeys, long maxResponseBytes, int maxBatchEntries, int maxBatchBytes, long retentionMs) {
  /** The default limits of a node. */
  public static final ClaimLimits DEFAULT =
      new ClaimLimits(2_000, 64 << 10, 100, 128 << 10, 3_600_000);

  /** Checks that the limits are in range. */
  public ClaimLimits {
    if (maxKeys <= 0 || maxResponseBytes < 0 || maxBatchEntries <= 0 || maxBatchBytes <= 0) {
      throw new IllegalArgumentException("claim limits must be above 0; maxResponseBytes may be 0");
    }
    if (retentionMs <= 0) {
      throw new IllegalArgumentException("retentionMs must be above 0");
    }
  }
}
