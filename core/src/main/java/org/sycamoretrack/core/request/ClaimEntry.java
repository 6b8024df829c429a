package org.sycamoretrack.core.request;

/** An entry of the claim ledger. Times are in milliseconds since the Unix epoch. */
public sealed interface ClaimEntry {
  /** Returns the idempotency key. */
  String key();

  /** Returns when the entry was created. */
  long atMs();

  /**
   * The key is claimed: from this entry on, its call may have been executed.
   *
   * @param key the idempotency key
   * @param fingerprint the fingerprint of the request, which detects reuse of the key with another
   *     request
   * @param atMs when the key was claimed
   */
  record Claimed(String key, String fingerprint, long atMs) implements ClaimEntry {}

  /**
   * The call was executed and has a response.
   *
   * @param key the idempotency key
   * @param fingerprint the fingerprint of the request, which detects reuse of the key with another
   *     request
   * @param atMs when the response was recorded
   * @param response the response
   */
  record Answered(String key, String fingerprint, long atMs, RecordedResponse response)
      implements ClaimEntry {}

  /**
   * The call is known not to have been executed; the key is free again.
   *
   * @param key the idempotency key
   * @param atMs when the key was released
   */
  record Released(String key, long atMs) implements ClaimEntry {}
}
