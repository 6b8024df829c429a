package org.sycamoretrack.standins.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.sycamoretrack.transport.process.Json;

/** A list of observations that any thread may append to. */
public final class History {
  private final List<HistoryRecord> records = new ArrayList<>();

  /**
   * Appends an observation.
   *
   * @param observation the record
   */
  public synchronized void add(HistoryRecord observation) {
    records.add(observation);
  }

  /** Returns a copy of the records, in the order of their appending. */
  public synchronized List<HistoryRecord> records() {
    return List.copyOf(records);
  }

  /**
   * Returns the records of one type.
   *
   * @param type the type
   * @param <T> the type
   */
  public <T extends HistoryRecord> List<T> all(Class<T> type) {
    return records().stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Returns the records as JSON, one a line. */
  public String toJsonLines() {
    StringBuilder lines = new StringBuilder();
    for (HistoryRecord observation : records()) {
      lines.append(toJson(observation)).append('\n');
    }
    return lines.toString();
  }

  private static String toJson(HistoryRecord observation) {
    try {
      return Json.mapper().writerFor(HistoryRecord.class).writeValueAsString(observation);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("record can't be written as JSON", e);
    }
  }

  /**
   * Appends records that {@link #toJsonLines} wrote.
   *
   * @param lines the lines; empty ones are skipped
   * @throws IllegalArgumentException when a line is not a record
   */
  public void addJsonLines(Stream<String> lines) {
    lines.filter(line -> !line.isBlank()).forEach(line -> add(parse(line)));
  }

  private static HistoryRecord parse(String line) {
    try {
      return Json.mapper().readValue(line, HistoryRecord.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not a record: " + e.getOriginalMessage(), e);
    }
  }
}
