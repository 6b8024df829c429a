package org.sycamoretrack.daemon.client;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * A transactional store of rows in tables that are divided into partitions.
 *
 * <p>A write is atomic within one partition. The versions of all rows come from one counter that
 * increases with each write, so versions of different rows can be compared. Reads and writes are
 * linearizable. All stages fail with a {@link org.sycamoretrack.core.process.SycamoreException};
 * its outcome is {@code NOT_RUN} when nothing was written and {@code UNKNOWN} when the write may
 * have taken effect, or may still do so as long as its conditions hold.
 */
public interface PartitionedStore {
  /** The page size of {@link #scanAll}, in rows. */
  int SCAN_PAGE_ROWS = 500;

  /**
   * A row.
   *
   * @param table its table
   * @param partition its partition, may be empty
   * @param key its key, unique in the partition
   * @param value its value, which must not be changed; null for a row that was removed
   * @param version its version
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Row(String table, String partition, String key, byte[] value, long version) {
    /** Returns whether the row was removed. */
    public boolean isRemoved() {
      return value == null;
    }
  }

  /**
   * Rows in key order, read at one point in time.
   *
   * @param rows the rows
   * @param version the newest version in the store at that time
   * @param more whether rows with larger keys follow
   */
  record Page(List<Row> rows, long version, boolean more) {
    /** Copies the rows. */
    public Page {
      rows = List.copyOf(rows);
    }
  }

  /**
   * The partitions of a table.
   *
   * @param names the partitions that have rows
   * @param version the newest version in the store when the first of them was read; a partition
   *     that isn't named has no rows, or only newer ones
   */
  record Partitions(List<String> names, long version) {
    /** Copies the names. */
    public Partitions {
      names = List.copyOf(names);
    }
  }

  /** The changes of a table after a version. */
  sealed interface Changes {
    /**
     * Rows that changed, oldest first.
     *
     * @param rows the current rows
     * @param version the version to pass to the next {@link #changes}
     */
    record Changed(List<Row> rows, long version) implements Changes {
      /** Copies the rows. */
      public Changed {
        rows = List.copyOf(rows);
      }
    }

    /** The store no longer has the changes after that version; the table must be read again. */
    record HistoryLost() implements Changes {}
  }

  /** The result of a write. */
  sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param version the version of all written rows
     */
    record Committed(long version) implements WriteResult {}

    /**
     * Nothing was written because a row did not have the expected version.
     *
     * @param rows the current rows that the conditions name, without those that don't exist
     */
    record Conflict(List<Row> rows) implements WriteResult {
      /** Copies the rows. */
      public Conflict {
        rows = List.copyOf(rows);
      }

      /**
       * Returns a row that a condition names.
       *
       * @param table its table
       * @param key its key
       * @return the row, or null when it doesn't exist
       */
      public Row find(String table, String key) {
        return rows.stream()
            .filter(row -> row.table().equals(table) && row.key().equals(key) && !row.isRemoved())
            .findFirst()
            .orElse(null);
      }
    }
  }

  /**
   * Reads rows of a partition.
   *
   * @param table the table
   * @param partition the partition
   * @param fromKey the first key (inclusive), empty for the beginning
   * @param limit the maximum number of rows
   */
  CompletionStage<Page> scan(String table, String partition, String fromKey, int limit);

  /**
   * Reads all rows of a partition, page by page.
   *
   * @param table the table
   * @param partition the partition
   * @return the rows in key order, with the lowest version of the pages; {@link #changes} after
   *     that version returns all later changes
   */
  default CompletionStage<Page> scanAll(String table, String partition) {
    return scan(table, partition, "", SCAN_PAGE_ROWS)
        .thenCompose(first -> addPages(table, partition, first, new ArrayList<>(first.rows())));
  }

  private CompletionStage<Page> addPages(
      String table, String partition, Page last, List<Row> rows) {
    if (!last.more()) {
      return CompletableFuture.completedFuture(new Page(rows, last.version(), false));
    }
    String fromKey = rows.get(rows.size() - 1).key() + '\0';
    return scan(table, partition, fromKey, SCAN_PAGE_ROWS)
        .thenCompose(
            next -> {
              rows.addAll(next.rows());
              long version = Math.min(last.version(), next.version());
              return addPages(table, partition, new Page(next.rows(), version, next.more()), rows);
            });
  }

  /**
   * Lists the partitions of a table that have rows.
   *
   * @param table the table
   */
  CompletionStage<Partitions> partitions(String table);

  /**
   * Waits for changes to any partition of a table.
   *
   * @param table the table
   * @param afterVersion the version after which changes are returned
   * @param waitMs the maximum wait when nothing has changed, in milliseconds
   */
  CompletionStage<Changes> changes(String table, long afterVersion, long waitMs);

  /**
   * Writes atomically.
   *
   * @param write the conditions and the rows to write
   */
  CompletionStage<WriteResult> commit(PartitionWrite write);
}
