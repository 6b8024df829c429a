package org.sycamoretrack.core.request.batch;

import java.util.List;

/**
 * The result of an item, as listed to the submitter. Immutable.
 *
 * @param itemId the id of the item
 * @param completed whether the text is complete; false if the item was abandoned
 * @param text the data of all events, separated by line feeds
 * @param versions the weight versions that generated any of the events, in ascending order
 * @param score the score of the text, empty if the item has none
 */
public record ItemResult(
    String itemId, boolean completed, String text, List<Integer> versions, String score) {
  /** Copies the versions. */
  public ItemResult {
    versions = List.copyOf(versions);
  }
}
