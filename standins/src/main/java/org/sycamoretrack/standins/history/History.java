package org.sycamoretrack.standins.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.sycamoretrack.transport.process.Json;

/** A list of records. Thread-safe. */
public final class History {
  private final List<HistoryRecord> records = new ArrayList<>();

  /**
   * Appends a record.
   *
   * @param record the record
   */
  public synchronized void add(HistoryRecord record) {
    records.add(record);
  }

  /** Returns a copy of the records, in the order in which they were appended. */
  public synchronized List<HistoryRecord> records() {
    return List.copyOf(records);
  }

  /**
   * Returns all records of a type.
   *
   * @param type the class of the records
   * @param <T> the type of the records
   */
  public <T extends HistoryRecord> List<T> all(Class<T> type) {
    return records().stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Serializes the records as JSON lines. */
  public String toJsonLines() {
    StringBuilder lines = new StringBuilder();
    for (HistoryRecord record : records()) {
      lines.append(toJson(record)).append('\n');
    }
    return lines.toString();
  }

  private static String toJson(HistoryRecord record) {
    try {
      return Json.mapper().writerFor(HistoryRecord.class).writeValueAsString(record);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("record can't be serialized as JSON", e);
    }
  }

  /**
   * Parses and appends records serialized by {@link #toJsonLines}.
   *
   * @param lines the lines; blank ones are skipped
   * @throws IllegalArgumentException if a line is not a valid record
   */
  public void addJsonLines(Stream<String> lines) {
    lines.filter(line -> !line.isBlank()).forEach(line -> add(parse(line)));
  }

  private static HistoryRecord parse(String line) {
    try {
      return Json.mapper().readValue(line, HistoryRecord.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not a valid record: " + e.getOriginalMessage(), e);
    }
  }
}
