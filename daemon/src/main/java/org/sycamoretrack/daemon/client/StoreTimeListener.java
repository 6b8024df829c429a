package org.sycamoretrack.daemon.client;

/** Receives the time of the store, which its responses contain. */
@FunctionalInterface
public interface StoreTimeListener {
  /** Ignores the time. */
  StoreTimeListener NONE = (storeMs, sentMs, receivedMs) -> {};

  /**
   * Called for each response that contains the time of the store, on the event loop of the call.
   *
   * @param storeMs the time of the store in milliseconds; not necessarily since the Unix epoch
   * @param sentMs the monotonic time of this process in milliseconds when the call was sent
   * @param receivedMs the monotonic time in milliseconds when the response was received
   */
  void onStoreTime(long storeMs, long sentMs, long receivedMs);
}
