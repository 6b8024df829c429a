package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's transactional table service.
 *
 * <p>Each row has a version that increases by one with each put and is never reused for the same
 * key, even after a deletion. Transactions are atomic. All stages fail with a {@link
 * org.sycamoretrack.core.process.SycamoreException}; its outcome is {@code NOT_RUN} when nothing
 * was written and {@code UNKNOWN} when the write may have taken effect, which the caller finds out
 * by reading the rows.
 */
public interface TableStore {
  /**
   * A row.
   *
   * @param key the key
   * @param version the version, greater than 0
   * @param value the value, which must not be changed
   */
  record Row(String key, long version, JsonNode value) {}

  /**
   * Reads a row.
   *
   * @param table the table
   * @param key the key
   * @return the row, or empty when it does not exist
   */
  CompletionStage<Optional<Row>> read(String table, String key);

  /**
   * Reads rows in key order.
   *
   * @param table the table
   * @param prefix the prefix of the keys, empty for all
   * @param after the key after which to begin (exclusive), empty for the beginning
   * @param limit the maximum number of rows, greater than 0
   * @return the rows; fewer rows than the limit mean that there are no more
   */
  CompletionStage<List<Row>> scan(String table, String prefix, String after, int limit);

  /**
   * Runs a transaction.
   *
   * @param transaction the checks and puts
   * @return the new versions when it was committed, otherwise the conflicting rows
   */
  CompletionStage<TransactionResult> transact(Transaction transaction);
}
