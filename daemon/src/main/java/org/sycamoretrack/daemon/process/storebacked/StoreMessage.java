package org.sycamoretrack.daemon.process.storebacked;

import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore.Partitions;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.connection.FieldReader;
import org.sycamoretrack.daemon.connection.FieldSource;
import org.sycamoretrack.daemon.connection.FieldWriter;
import org.sycamoretrack.daemon.connection.PeerMessage;

/**
 * The messages by which a node that can't reach the store calls it through a peer that can.
 *
 * <p>Each {@link Call} gets one {@link Reply} with the same id.
 */
sealed interface StoreMessage extends PeerMessage {
  /** Returns the id of the call, unique per sender. */
  long id();

  /** The operation of a call. */
  enum Operation {
    /** Reads rows of a partition. */
    SCAN,
    /** Lists the partitions of a table. */
    PARTITIONS,
    /** Reads the changes of a table. */
    CHANGES,
    /** Writes atomically to a partition. */
    COMMIT
  }

  /**
   * A store call.
   *
   * @param id the id of the call
   * @param operation the operation
   * @param table the table, empty for a write
   * @param partition the partition, empty for an operation on a whole table
   * @param fromKey the first key of a scan
   * @param limit the maximum number of rows of a scan
   * @param afterVersion the version after which changes are read
   * @param waitMs how long to wait for changes, in milliseconds
   * @param write the write, null for other operations
   */
  record Call(
      long id,
      Operation operation,
      String table,
      String partition,
      String fromKey,
      int limit,
      long afterVersion,
      long waitMs,
      PartitionWrite write)
      implements StoreMessage {
    static final String TYPE = "store.call";

    static Call scan(long id, String table, String partition, String fromKey, int limit) {
      return new Call(id, Operation.SCAN, table, partition, fromKey, limit, 0, 0, null);
    }

    static Call partitions(long id, String table) {
      return new Call(id, Operation.PARTITIONS, table, "", "", 0, 0, 0, null);
    }

    static Call changes(long id, String table, long afterVersion, long waitMs) {
      return new Call(id, Operation.CHANGES, table, "", "", 0, afterVersion, waitMs, null);
    }

    static Call commit(long id, PartitionWrite write) {
      return new Call(id, Operation.COMMIT, "", write.partition(), "", 0, 0, 0, write);
    }

    static Call read(FieldReader fields) {
      Operation operation = Operation.valueOf(fields.string("operation"));
      String partition = fields.string("partition");
      return new Call(
          fields.integer("id"),
          operation,
          fields.string("table"),
          partition,
          fields.string("fromKey"),
          fields.int32("limit"),
          fields.integer("afterVersion"),
          fields.integer("waitMs"),
          operation == Operation.COMMIT ? readWrite(partition, fields) : null);
    }

    private static PartitionWrite readWrite(String partition, FieldReader fields) {
      PartitionWrite.Builder write = PartitionWrite.in(partition);
      for (FieldReader condition : fields.maps("conditions")) {
        write.expect(
            condition.string("table"), condition.string("key"), condition.integer("version"));
      }
      for (FieldReader put : fields.maps("puts")) {
        if (put.has("value")) {
          write.put(put.string("table"), put.string("key"), put.bytes("value"));
        } else {
          write.remove(put.string("table"), put.string("key"));
        }
      }
      return write.build();
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("id", id)
          .string("operation", operation.name())
          .string("table", table)
          .string("partition", partition)
          .string("fromKey", fromKey)
          .integer("limit", limit)
          .integer("afterVersion", afterVersion)
          .integer("waitMs", waitMs);
      if (write != null) {
        out.maps("conditions", write.conditions().stream().map(Call::fields).toList());
        out.maps("puts", write.puts().stream().map(Call::fields).toList());
      }
    }

    private static FieldSource fields(PartitionWrite.Condition condition) {
      return out ->
          out.string("table", condition.table())
              .string("key", condition.key())
              .integer("version", condition.version());
    }

    private static FieldSource fields(PartitionWrite.Put put) {
      return out ->
          out.string("table", put.table()).string("key", put.key()).bytes("value", put.value());
    }
  }

  /** The kind of result of a call. */
  enum Result {
    /** A page of rows. */
    PAGE,
    /** The names of partitions. */
    NAMES,
    /** The changed rows. */
    CHANGED,
    /** The history of changes since the given version is no longer available. */
    HISTORY_LOST,
    /** The write was committed. */
    COMMITTED,
    /** The write was rejected because a condition didn't hold. */
    CONFLICT,
    /** The call failed. */
    FAILED
  }

  /**
   * The reply to a call.
   *
   * @param id the id of the call
   * @param result the kind of result
   * @param rows the rows, if any
   * @param names the names of partitions, if any
   * @param version the version of the result, 0 if it has none
   * @param more whether more rows follow
   * @param outcome whether a failed call was executed
   * @param message the reason of a failure, otherwise empty
   */
  record Reply(
      long id,
      Result result,
      List<Row> rows,
      List<String> names,
      long version,
      boolean more,
      ExecutionOutcome outcome,
      String message)
      implements StoreMessage {
    static final String TYPE = "store.reply";

    static Reply of(long id, Result result, List<Row> rows, long version, boolean more) {
      return new Reply(id, result, rows, List.of(), version, more, ExecutionOutcome.RAN, "");
    }

    static Reply partitions(long id, Partitions partitions) {
      return new Reply(
          id,
          Result.NAMES,
          List.of(),
          partitions.names(),
          partitions.version(),
          false,
          ExecutionOutcome.RAN,
          "");
    }

    static Reply failed(long id, ExecutionOutcome outcome, String message) {
      return new Reply(id, Result.FAILED, List.of(), List.of(), 0, false, outcome, message);
    }

    static Reply read(FieldReader fields) {
      List<Row> rows = new ArrayList<>();
      for (FieldReader row : fields.maps("rows")) {
        rows.add(
            new Row(
                row.string("table"),
                row.string("partition"),
                row.string("key"),
                row.has("value") ? row.bytes("value") : null,
                row.integer("version")));
      }
      return new Reply(
          fields.integer("id"),
          Result.valueOf(fields.string("result")),
          rows,
          fields.strings("names"),
          fields.integer("version"),
          fields.bool("more"),
          ExecutionOutcome.ofWireName(fields.string("outcome")),
          fields.string("message"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("id", id)
          .string("result", result.name())
          .maps("rows", rows.stream().map(Reply::fields).toList())
          .strings("names", names)
          .integer("version", version)
          .bool("more", more)
          .string("outcome", outcome.wireName())
          .string("message", message);
    }

    private static FieldSource fields(Row row) {
      return out ->
          out.string("table", row.table())
              .string("partition", row.partition())
              .string("key", row.key())
              .bytes("value", row.value())
              .integer("version", row.version());
    }
  }
}
