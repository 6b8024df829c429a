package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * An atomic set of conditions and writes. Immutable.
 *
 * <p>Example: write a batch only if the row of its range still has version 7:
 *
 * <pre>{@code
 * Transaction.builder("batch-12")
 *     .check("ranges", "r-03", 7)
 *     .put("batches", "r-03/12", Transaction.ABSENT, value)
 *     .build();
 * }</pre>
 */
public final class Transaction {
  /** The expected version of a row that must not exist. */
  public static final long ABSENT = 0;

  /** The expected version of a row that may have any version or not exist. */
  public static final long ANY = -1;

  /**
   * A condition on the version of a row that isn't written.
   *
   * @param table the table
   * @param key the key
   * @param expectedVersion the version that the row must have, or {@link #ABSENT}
   */
  public record Check(String table, String key, long expectedVersion) {}

  /**
   * A row that is written or deleted.
   *
   * @param table the table
   * @param key the key
   * @param expectedVersion the version that the row must have, {@link #ABSENT} or {@link #ANY}
   * @param value the new value; null deletes the row
   */
  public record Put(String table, String key, long expectedVersion, JsonNode value) {}

  private final String id;
  private final List<Check> checks;
  private final List<Put> puts;

  private Transaction(Builder builder) {
    this.id = builder.id;
    this.checks = List.copyOf(builder.checks);
    this.puts = List.copyOf(builder.puts);
  }

  /**
   * Returns a builder.
   *
   * @param id identifies the transaction in logs of the table service, which doesn't use it to
   *     detect duplicates
   * @return a builder
   */
  public static Builder builder(String id) {
    return new Builder(id);
  }

  public String id() {
    return id;
  }

  /** Returns the conditions on rows that are not written. */
  public List<Check> checks() {
    return checks;
  }

  /** Returns the writes, in the order in which they were added. */
  public List<Put> puts() {
    return puts;
  }

  /** Builds a {@link Transaction}. */
  public static final class Builder {
    private final String id;
    private final List<Check> checks = new ArrayList<>();
    private final List<Put> puts = new ArrayList<>();

    private Builder(String id) {
      this.id = Objects.requireNonNull(id, "id");
    }

    /**
     * Adds a condition on a row that isn't written.
     *
     * @param table the table
     * @param key the key
     * @param expectedVersion the version that the row must have, or {@link #ABSENT}
     * @return this builder
     */
    public Builder check(String table, String key, long expectedVersion) {
      checks.add(new Check(table, key, expectedVersion));
      return this;
    }

    /**
     * Adds a write.
     *
     * @param table the table
     * @param key the key
     * @param expectedVersion the version that the row must have, {@link #ABSENT} or {@link #ANY}
     * @param value the new value
     * @return this builder
     */
    public Builder put(String table, String key, long expectedVersion, JsonNode value) {
      puts.add(new Put(table, key, expectedVersion, Objects.requireNonNull(value, "value")));
      return this;
    }

    /**
     * Adds the deletion of a row.
     *
     * @param table the table
     * @param key the key
     * @param expectedVersion the version that the row must have, or {@link #ANY}
     * @return this builder
     */
    public Builder delete(String table, String key, long expectedVersion) {
      puts.add(new Put(table, key, expectedVersion, null));
      return this;
    }

    /** Returns the transaction. */
    public Transaction build() {
      return new Transaction(this);
    }
  }
}
