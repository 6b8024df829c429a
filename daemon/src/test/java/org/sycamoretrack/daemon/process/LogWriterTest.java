package org.sycamoretrack.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests of {@link LogWriter}. */
class LogWriterTest {
  private static final long TIMEOUT_MS = 5_000;

  /** A stream that blocks all writes until it is unblocked. */
  private static final class StalledStream extends OutputStream {
    private final CountDownLatch unblocked = new CountDownLatch(1);
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    @Override
    public void write(int value) {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      try {
        unblocked.await();
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
      synchronized (received) {
        received.write(bytes, offset, length);
      }
    }

    private String text() {
      synchronized (received) {
        return received.toString(StandardCharsets.UTF_8);
      }
    }
  }

  @Test
  void writesLinesInOrder() {
    StalledStream out = new StalledStream();
    out.unblocked.countDown();
    LogWriter writer = new LogWriter(out, 10);
    writer.write("a");
    writer.write("b");
    writer.drain(TIMEOUT_MS);

    assertThat(out.text()).isEqualTo("a\nb\n");
  }

  @Test
  void stalledStreamDropsAndCountsLinesWithoutBlocking() {
    StalledStream out = new StalledStream();
    LogWriter writer = new LogWriter(out, 100);
    long startNanos = System.nanoTime();
    for (int i = 0; i < 10_000; i++) {
      writer.write("line " + i);
    }
    assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)).isLessThan(1_000);

    out.unblocked.countDown();
    writer.drain(TIMEOUT_MS);
    writer.write("last");
    writer.drain(TIMEOUT_MS);

    assertThat(out.text()).contains("line 0\n", "log-lines-dropped", "last\n");
    long lines = out.text().lines().filter(line -> line.startsWith("line ")).count();
    long dropped =
        out.text()
            .lines()
            .filter(line -> line.contains("log-lines-dropped"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
            .sum();
    assertThat(lines + dropped).isEqualTo(10_000);
  }
}
