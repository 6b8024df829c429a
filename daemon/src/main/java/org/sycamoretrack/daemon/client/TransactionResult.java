package org.sycamoretrack.daemon.client;

import java.util.List;

/** The result of a transaction, as the table service reported it. */
public sealed interface TransactionResult {
  /**
   * The transaction was committed.
   *
   * @param versions the new version of each written row, in the order of the puts
   */
  record Committed(List<Long> versions) implements TransactionResult {
    /** Copies the versions. */
    public Committed {
      versions = List.copyOf(versions);
    }
  }

  /**
   * Nothing was written because a row did not have the expected version.
   *
   * @param rows the conflicting rows
   */
  record Conflict(List<ConflictingRow> rows) implements TransactionResult {
    /** Copies the rows. */
    public Conflict {
      rows = List.copyOf(rows);
    }
  }

  /**
   * A row that did not have the expected version.
   *
   * @param table the table
   * @param key the key
   * @param version the current version, 0 when the row does not exist
   */
  record ConflictingRow(String table, String key, long version) {}
}
