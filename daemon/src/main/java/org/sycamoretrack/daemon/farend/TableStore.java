package org.sycamoretrack.daemon.farend;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's transactional table service.
 *
 * <p>Rows have a version that rises by one with each put and is never used again for the same key.
 * A transaction takes effect as a whole or not at all. All stages fail with a {@link
 * org.sycamoretrack.core.process.SycamoreException}; its outcome is {@code NOT_RUN} when nothing
 * was written and {@code UNKNOWN} when the write may have taken effect, which the caller settles by
 * reading back.
 */
public interface TableStore {
  /**
   * A row.
   *
   * @param key the key
   * @param version the version, over 0
   * @param value the value, which must not be changed
   */
  record Row(String key, long version, JsonNode value) {}

  /**
   * Reads a row.
   *
   * @param table the table
   * @param key the key
   * @return the row, empty when there is none
   */
  CompletionStage<Optional<Row>> read(String table, String key);

  /**
   * Reads rows in key order.
   *
   * @param table the table
   * @param prefix what the keys begin with, empty for all
   * @param after the key after which to begin, empty for the first
   * @param limit the most rows, over 0
   * @return the rows; fewer than the limit mean that there are no more
   */
  CompletionStage<List<Row>> scan(String table, String prefix, String after, int limit);

  /**
   * Runs a transaction.
   *
   * @param transaction the checks and puts
   * @return whether it was committed, with the versions or the conflicts
   */
  CompletionStage<TransactionResult> transact(Transaction transaction);
}
