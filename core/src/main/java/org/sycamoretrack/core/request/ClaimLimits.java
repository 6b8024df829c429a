package org.sycamoretrack.core.request;

/**
 * The bounds of the claim ledger of one key range.
 *
 * @param maxKeys the most keys that are remembered
 * @param maxAnswerBytes the most bytes of answers in memory; older ones are read back when asked
 *     for
 * @param maxBatchEntries the most entries in one batch
 * @param maxBatchBytes the most bytes of answers in one batch
 * @param retentionMs how long a key is remembered after its last entry, in milliseconds
 */
public record ClaimLimits(
    int maxKeys, long maxAnswerBytes, int maxBatchEntries, int maxBatchBytes, long retentionMs) {
  /** The bounds that nodes use unless their settings say otherwise. */
  public static final ClaimLimits DEFAULT =
      new ClaimLimits(2_000, 64 << 10, 100, 128 << 10, 3_600_000);

  /** Checks the bounds. */
  public ClaimLimits {
    if (maxKeys <= 0 || maxAnswerBytes < 0 || maxBatchEntries <= 0 || maxBatchBytes <= 0) {
      throw new IllegalArgumentException("limits of claims must be over 0");
    }
    if (retentionMs <= 0) {
      throw new IllegalArgumentException("retentionMs must be over 0");
    }
  }
}
