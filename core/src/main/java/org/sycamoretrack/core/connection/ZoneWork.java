package org.sycamoretrack.core.connection;

/**
 * A piece of work whose zone is to be decided. Immutable.
 *
 * @param kind its kind
 * @param pool the name of the set of endpoints that share this load
 * @param bytes the expected size of request and response
 * @param waiting the number of items of the pool that wait on this node, this one included; 0 for
 *     plain requests
 * @param remainingMs the time until the work is due, in milliseconds; {@link Long#MAX_VALUE} if it
 *     has no deadline
 */
public record ZoneWork(Kind kind, String pool, long bytes, int waiting, long remainingMs) {
  /** Headers and response of a plain request, which has 1.5 KB in all. */
  private static final int PLAIN_OVERHEAD_BYTES = 1_000;

  private static final int BYTES_PER_TOKEN = 4;

  /** The kinds of work. */
  public enum Kind {
    /** A request of a caller, which is queued at an endpoint if that has no free slot. */
    PLAIN,
    /** An item of a batch, which waits on its node until an endpoint has a free slot. */
    ITEM
  }

  /**
   * Returns a plain request.
   *
   * @param service its service
   * @param bodyBytes the size of its body
   */
  public static ZoneWork plain(String service, int bodyBytes) {
    return new ZoneWork(
        Kind.PLAIN, service, (long) bodyBytes + PLAIN_OVERHEAD_BYTES, 0, Long.MAX_VALUE);
  }

  /**
   * Returns an item.
   *
   * @param pool its service and model, see {@link #itemPool}
   * @param bodyBytes the size of its body
   * @param expectedTokens the expected length of its text, 0 if unknown
   * @param waiting the number of items of the pool that wait on this node, this one included
   * @param remainingMs the time until its batch is due, in milliseconds; {@link Long#MAX_VALUE} if
   *     it has no deadline
   */
  public static ZoneWork item(
      String pool, int bodyBytes, int expectedTokens, int waiting, long remainingMs) {
    long bytes = bodyBytes + (long) BYTES_PER_TOKEN * expectedTokens;
    return new ZoneWork(Kind.ITEM, pool, bytes, waiting, remainingMs);
  }

  /** Returns the pool of the items of a model; each model has its own share of a service. */
  public static String itemPool(String service, String model) {
    return service + '/' + model;
  }
}
