import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run into a file, with the time since the start. */
final class Record {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start. */
  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... arguments) {
    double seconds = nowMs() / 1_000.0;
    out.printf(Locale.ROOT, "%8.3f  %s%n", seconds, String.format(Locale.ROOT, format, arguments));
    out.flush();
  }

  /** Writes a line into the record and to standard output. */
  void tell(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }
}
