package org.sycamoretrack.core.request;

/** A line of the claim ledger. Times are in milliseconds since the epoch. */
public sealed interface ClaimEntry {
  /** Returns the idempotency key. */
  String key();

  /** Returns when the entry was made. */
  long atMs();

  /**
   * The key is taken: its call may have run from here on.
   *
   * @param key the idempotency key
   * @param fingerprint tells the request from others with the same key
   * @param atMs when it was claimed
   */
  record Claimed(String key, String fingerprint, long atMs) implements ClaimEntry {}

  /**
   * The call ran and was answered.
   *
   * @param key the idempotency key
   * @param fingerprint tells the request from others with the same key
   * @param atMs when it was answered
   * @param answer the answer
   */
  record Answered(String key, String fingerprint, long atMs, RecordedAnswer answer)
      implements ClaimEntry {}

  /**
   * The call is known not to have run; the key is free again.
   *
   * @param key the idempotency key
   * @param atMs when it was given up
   */
  record Released(String key, long atMs) implements ClaimEntry {}
}
