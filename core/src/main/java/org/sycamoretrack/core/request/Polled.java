package org.sycamoretrack.core.request;

/**
 * The answer of {@link AdmissionQueue#poll}.
 *
 * @param <T> the type of the queued items
 */
public sealed interface Polled<T> {
  /**
   * The item may start now.
   *
   * @param item the item
   * @param requestClass its class
   * @param waitedMs how long it was queued
   * @param <T> the type of the queued items
   */
  record Admitted<T>(T item, RequestClass requestClass, long waitedMs) implements Polled<T> {}

  /**
   * The deadline of the item passed while it was queued; it did not run.
   *
   * @param item the item
   * @param requestClass its class
   * @param waitedMs how long it was queued
   * @param <T> the type of the queued items
   */
  record Expired<T>(T item, RequestClass requestClass, long waitedMs) implements Polled<T> {}

  /**
   * No item may start and none has expired.
   *
   * @param <T> the type of the queued items
   */
  record Nothing<T>() implements Polled<T> {}
}
