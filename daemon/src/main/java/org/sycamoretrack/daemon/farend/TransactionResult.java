package org.sycamoretrack.daemon.farend;

import java.util.List;

/** How a transaction ended when its answer arrived. */
public sealed interface TransactionResult {
  /**
   * All puts took effect.
   *
   * @param versions the new version of each put's row, in the order of the puts
   */
  record Committed(List<Long> versions) implements TransactionResult {
    /** Copies the versions. */
    public Committed {
      versions = List.copyOf(versions);
    }
  }

  /**
   * Nothing took effect, since a row had another version than expected.
   *
   * @param rows the rows in conflict
   */
  record Conflict(List<ConflictingRow> rows) implements TransactionResult {
    /** Copies the rows. */
    public Conflict {
      rows = List.copyOf(rows);
    }
  }

  /**
   * A row that had another version than expected.
   *
   * @param table the table
   * @param key the key
   * @param version the current version, 0 when there is no such row
   */
  record ConflictingRow(String table, String key, long version) {}
}
