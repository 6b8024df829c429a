package org.sycamoretrack.daemon.client;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** An atomic conditional write to the rows of one partition. Immutable. */
public final class PartitionWrite {
  /** The expected version of a row that must not exist. */
  public static final long ABSENT = 0;

  /**
   * A condition on the version of a row.
   *
   * @param table the table
   * @param key the key
   * @param version the version that the row must have, or {@link #ABSENT}
   */
  public record Condition(String table, String key, long version) {}

  /**
   * A row to write or remove.
   *
   * @param table the table
   * @param key the key
   * @param value the new value, which must not be changed; null removes the row
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Put(String table, String key, byte[] value) {}

  private final String partition;
  private final List<Condition> conditions;
  private final List<Put> puts;

  private PartitionWrite(Builder builder) {
    this.partition = builder.partition;
    this.conditions = List.copyOf(builder.conditions);
    this.puts = List.copyOf(builder.puts);
  }

  /**
   * Returns a builder.
   *
   * @param partition the partition of all rows
   */
  public static Builder in(String partition) {
    return new Builder(partition);
  }

  public String partition() {
    return partition;
  }

  public List<Condition> conditions() {
    return conditions;
  }

  /** Returns the rows to write or remove. */
  public List<Put> puts() {
    return puts;
  }

  /** Builds a {@link PartitionWrite}. */
  public static final class Builder {
    private final String partition;
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Put> puts = new ArrayList<>();

    private Builder(String partition) {
      this.partition = Objects.requireNonNull(partition);
    }

    /** Adds a condition on the version of a row. */
    public Builder expect(String table, String key, long version) {
      conditions.add(new Condition(table, key, version));
      return this;
    }

    /** Adds a row to write. */
    public Builder put(String table, String key, byte[] value) {
      puts.add(new Put(table, key, Objects.requireNonNull(value)));
      return this;
    }

    /** Adds a row to remove. */
    public Builder remove(String table, String key) {
      puts.add(new Put(table, key, null));
      return this;
    }

    /** Returns the write. */
    public PartitionWrite build() {
      return new PartitionWrite(this);
    }
  }
}
