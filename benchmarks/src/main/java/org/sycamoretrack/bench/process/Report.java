package org.sycamoretrack.bench.process;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The results of a benchmark: a table and bound checks. */
public final class Report {
  private static final String GAP = "  ";

  private final List<String[]> rows = new ArrayList<>();
  private final List<BoundCheck> boundChecks = new ArrayList<>();
  private final String title;

  /**
   * Creates an empty report.
   *
   * @param title the line above the table
   * @param columns the column headers
   */
  public Report(String title, String... columns) {
    this.title = title;
    rows.add(columns);
  }

  /**
   * Adds a row.
   *
   * @param cells its cells
   */
  public void addRow(String... cells) {
    rows.add(cells);
  }

  /**
   * Adds a bound check.
   *
   * @param check the bound check
   */
  public void addBoundCheck(BoundCheck check) {
    boundChecks.add(check);
  }

  /** Returns the bound checks in insertion order. */
  public List<BoundCheck> boundChecks() {
    return List.copyOf(boundChecks);
  }

  /**
   * Prints the table, then a JSON line for each bound check.
   *
   * @param out the stream to print to
   */
  public void print(PrintStream out) {
    out.println(title);
    int columns = rows.getFirst().length;
    int[] widths = new int[columns];
    for (String[] row : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row[i].length());
      }
    }
    for (String[] row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < columns; i++) {
        String padding = " ".repeat(widths[i] - row[i].length());
        line.append(i == 0 ? row[i] + padding : GAP + padding + row[i]);
      }
      out.println(line.toString().stripTrailing());
    }
    boundChecks.forEach(check -> out.println(check.toJson()));
    out.println();
  }
}
