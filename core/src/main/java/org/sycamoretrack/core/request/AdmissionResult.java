package org.sycamoretrack.core.request;

/**
 * The result of {@link AdmissionQueue#poll}.
 *
 * @param <T> the type of the queued items
 */
public sealed interface AdmissionResult<T> {
  /**
   * The item was admitted and may start now.
   *
   * @param item the queued item
   * @param requestClass the class of the item
   * @param waitedMs how long the item was queued, in milliseconds
   * @param <T> the type of the queued items
   */
  record Admitted<T>(T item, RequestClass requestClass, long waitedMs)
      implements AdmissionResult<T> {}

  /**
   * The deadline of the item passed while it was queued; the item has not run.
   *
   * @param item the queued item
   * @param requestClass the class of the item
   * @param waitedMs how long the item was queued, in milliseconds
   * @param <T> the type of the queued items
   */
  record Expired<T>(T item, RequestClass requestClass, long waitedMs)
      implements AdmissionResult<T> {}

  /**
   * No item can be admitted and none has expired.
   *
   * @param <T> the type of the queued items
   */
  record NoneReady<T>() implements AdmissionResult<T> {}
}
