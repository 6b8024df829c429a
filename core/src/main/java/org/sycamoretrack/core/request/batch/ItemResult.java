package org.sycamoretrack.core.request.batch;

import java.util.List;

/**
 * The result of an item, as it is listed. Immutable.
 *
 * @param itemId the item
 * @param completed whether its text is whole; false when the item was given up
 * @param text the data of all events, separated by line feeds
 * @param versions the versions of the weights that made an event, in rising order
 */
public record ItemResult(String itemId, boolean completed, String text, List<Integer> versions) {
  /** Copies the versions. */
  public ItemResult {
    versions = List.copyOf(versions);
  }
}
