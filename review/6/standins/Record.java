import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each event, with the seconds since the start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    this.out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start. */
  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Adds a line. */
  synchronized void add(String format, Object... arguments) {
    out.printf(
        Locale.ROOT, "%8.3f  %s%n", nowMs() / 1000.0, String.format(Locale.ROOT, format, arguments));
    out.flush();
  }

  /** Adds a line that is also printed. */
  synchronized void say(String format, Object... arguments) {
    add(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public void close() {
    out.close();
  }
}
