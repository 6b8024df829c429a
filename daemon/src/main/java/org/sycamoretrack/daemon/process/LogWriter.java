package org.sycamoretrack.daemon.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to a stream on a dedicated thread, so that a stalled reader of the stream doesn't
 * block the threads that log.
 *
 * <p>Lines wait in a bounded queue. If the queue is full, a line is dropped and counted, and a line
 * with the count follows the next lines that are written.
 */
final class LogWriter {
  private static final int MAX_BATCH = 256;
  private static final long DRAIN_POLL_MS = 5;

  private final OutputStream out;
  private final BlockingQueue<String> lines;
  private final AtomicLong unreportedDrops = new AtomicLong();
  private final AtomicLong totalDrops = new AtomicLong();
  private final AtomicLong accepted = new AtomicLong();
  private final AtomicLong written = new AtomicLong();

  /**
   * Starts a writer.
   *
   * @param out the stream
   * @param capacity the maximum number of queued lines
   */
  LogWriter(OutputStream out, int capacity) {
    this.out = out;
    this.lines = new ArrayBlockingQueue<>(capacity);
    Thread thread = new Thread(this::run, "log");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Queues a line. Never blocks.
   *
   * @param line the line, without line terminator
   */
  void write(String line) {
    if (lines.offer(line)) {
      accepted.incrementAndGet();
    } else {
      unreportedDrops.incrementAndGet();
      totalDrops.incrementAndGet();
    }
  }

  /** Returns the number of lines accepted since the start. */
  long acceptedCount() {
    return accepted.get();
  }

  /** Returns the number of lines dropped since the start. */
  long droppedCount() {
    return totalDrops.get();
  }

  /**
   * Waits until all lines accepted so far are written.
   *
   * @param timeoutMs the timeout, in milliseconds
   */
  void drain(long timeoutMs) {
    long target = accepted.get();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (written.get() < target && System.nanoTime() < endNanos) {
      try {
        TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void run() {
    List<String> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(lines.take());
        lines.drainTo(batch, MAX_BATCH);
        writeBatch(batch);
        written.addAndGet(batch.size());
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The log itself failed, so the error can't be reported; later lines are dropped.
      lines.clear();
    }
  }

  private void writeBatch(List<String> batch) throws IOException {
    StringBuilder text = new StringBuilder();
    for (String line : batch) {
      text.append(line).append('\n');
    }
    long dropped = unreportedDrops.getAndSet(0);
    if (dropped > 0) {
      text.append("{\"level\":\"WARNING\",\"event\":\"log-lines-dropped\",\"count\":")
          .append(dropped)
          .append("}\n");
    }
    out.write(text.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
  }
}
