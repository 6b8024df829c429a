package org.sycamoretrack.cli.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.transport.process.Json;

/** Prints the output of a command: lines, JSON and tables. */
public final class CommandOutput {
  private final PrintStream stream;

  /**
   * Creates an output.
   *
   * @param stream the stream to print to
   */
  public CommandOutput(PrintStream stream) {
    this.stream = stream;
  }

  /**
   * Prints a line and flushes the stream.
   *
   * @param text the line
   */
  public void line(String text) {
    stream.println(text);
    stream.flush();
  }

  /**
   * Prints indented JSON.
   *
   * @param json the value
   */
  public void json(JsonNode json) {
    try {
      line(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(json));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value can't be written as JSON", e);
    }
  }

  /**
   * Prints a table with aligned columns.
   *
   * @param headers the column headings
   * @param rows the cells; each row has as many as there are headers
   */
  public void table(List<String> headers, List<List<String>> rows) {
    List<List<String>> all = new ArrayList<>();
    all.add(headers);
    all.addAll(rows);
    int[] widths = new int[headers.size()];
    for (List<String> row : all) {
      for (int column = 0; column < widths.length; column++) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    for (List<String> row : all) {
      StringBuilder text = new StringBuilder();
      for (int column = 0; column < widths.length; column++) {
        String cell = row.get(column);
        text.append(cell).repeat(' ', widths[column] - cell.length() + 2);
      }
      line(text.toString().stripTrailing());
    }
  }
}
