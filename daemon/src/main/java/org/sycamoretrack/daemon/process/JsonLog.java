package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.text.MessageFormat;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.ResourceBundle;
import org.sycamoretrack.transport.process.Json;

/**
 * Writes logs as JSON lines to the standard output stream, without ever blocking on it.
 *
 * <p>Each line has {@code time}, {@code level}, {@code node}, {@code zone}, {@code logger} and
 * {@code event}. Each event of a logger is written at most {@value #MAX_PER_SECOND} times a second;
 * the field {@code suppressed} of its next line contains the number of suppressed lines.
 *
 * <p>It is registered as a {@link System.LoggerFinder}, so that all code logs through {@link
 * System.Logger}.
 */
public final class JsonLog extends System.LoggerFinder {
  private static final int MAX_PER_SECOND = 20;
  private static final int MAX_TRACKED_EVENTS = 1_000;
  private static final long SECOND_NANOS = 1_000_000_000L;

  /**
   * Queued lines while the output isn't read: the log of a busy node for one second, under 2 MB.
   */
  private static final int MAX_QUEUED_LINES = 4_096;

  private static final LogWriter WRITER =
      new LogWriter(new FileOutputStream(FileDescriptor.out), MAX_QUEUED_LINES);

  private static volatile String nodeId = "";
  private static volatile String zone = "";

  private final Map<String, EventRate> rates = new HashMap<>();

  /** Creates the finder; called by the service loader. */
  public JsonLog() {}

  /**
   * Sets the node id and zone that all further lines contain.
   *
   * @param newNodeId the id of the node
   * @param newZone the availability zone of the node
   */
  public static void identify(String newNodeId, String newZone) {
    nodeId = newNodeId;
    zone = newZone;
  }

  /**
   * Waits until all accepted lines are written; called before the process exits.
   *
   * @param timeoutMs the timeout, in milliseconds
   */
  public static void drain(long timeoutMs) {
    WRITER.drain(timeoutMs);
  }

  /** Returns the number of lines accepted since the start. */
  static long acceptedLines() {
    return WRITER.acceptedCount();
  }

  /** Returns the number of lines dropped since the start because the output wasn't read in time. */
  static long droppedLines() {
    return WRITER.droppedCount();
  }

  @Override
  public System.Logger getLogger(String name, Module module) {
    return new JsonLogger(name);
  }

  private synchronized void write(
      System.Logger.Level level, String logger, LogEvent event, Throwable thrown) {
    long suppressed = admit(logger + '/' + event.name());
    if (suppressed < 0) {
      return;
    }
    ObjectNode line = Json.object();
    line.put("time", Instant.now().toString());
    line.put("level", level.getName());
    line.put("node", nodeId);
    line.put("zone", zone);
    line.put("logger", logger.substring(logger.lastIndexOf('.') + 1));
    event.writeTo(line);
    if (thrown != null) {
      line.put("error", thrown.toString());
      line.put("at", firstFrame(thrown));
    }
    if (suppressed > 0) {
      line.put("suppressed", suppressed);
    }
    WRITER.write(line.toString());
  }

  private static String firstFrame(Throwable thrown) {
    StackTraceElement[] trace = thrown.getStackTrace();
    return trace.length == 0 ? "" : trace[0].toString();
  }

  /**
   * Returns how many events were suppressed since the last written one, or -1 if this one is
   * suppressed.
   */
  private long admit(String key) {
    if (rates.size() > MAX_TRACKED_EVENTS) {
      rates.clear();
    }
    EventRate rate = rates.computeIfAbsent(key, any -> new EventRate());
    long now = System.nanoTime();
    if (now - rate.startNanos >= SECOND_NANOS) {
      rate.startNanos = now;
      rate.written = 0;
    }
    if (rate.written >= MAX_PER_SECOND) {
      rate.suppressed++;
      return -1;
    }
    rate.written++;
    long suppressed = rate.suppressed;
    rate.suppressed = 0;
    return suppressed;
  }

  /** Rate limiter state of one event: counts per second. */
  private static final class EventRate {
    private long startNanos = System.nanoTime();
    private int written;
    private long suppressed;
  }

  /** A logger with a given name. */
  private final class JsonLogger implements System.Logger {
    private final String name;

    private JsonLogger(String name) {
      this.name = name;
    }

    @Override
    public String getName() {
      return name;
    }

    @Override
    public boolean isLoggable(Level level) {
      Level minimum = name.startsWith("org.sycamoretrack") ? Level.INFO : Level.WARNING;
      return level.getSeverity() >= minimum.getSeverity() && level != Level.OFF;
    }

    @Override
    public void log(Level level, Object event) {
      if (isLoggable(level)) {
        write(
            level,
            name,
            event instanceof LogEvent logEvent ? logEvent : textEvent(event.toString()),
            null);
      }
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
      if (isLoggable(level)) {
        write(level, name, textEvent(message), thrown);
      }
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... params) {
      if (isLoggable(level)) {
        boolean bare = params == null || params.length == 0;
        String message = bare ? format : MessageFormat.format(format, params);
        write(level, name, textEvent(message), null);
      }
    }

    private LogEvent textEvent(String message) {
      if (message != null && message.matches("[a-z0-9-]+")) {
        return LogEvent.of(message);
      }
      return LogEvent.of("message").with("message", message);
    }
  }
}
