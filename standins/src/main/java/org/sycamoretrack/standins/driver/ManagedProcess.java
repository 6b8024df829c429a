package org.sycamoretrack.standins.driver;

import static java.nio.file.StandardOpenOption.APPEND;
import static java.nio.file.StandardOpenOption.CREATE;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sycamoretrack.transport.process.Json;

/**
 * An operating-system process that prints a line of JSON when it is ready. Everything else that it
 * prints is appended to a log file.
 */
public final class ManagedProcess {
  private static final int READY_TIMEOUT_MS = 60_000;
  private static final int KILL_TIMEOUT_MS = 5_000;

  private final String name;
  private final Path log;
  private final Process process;
  private final CompletableFuture<JsonNode> ready = new CompletableFuture<>();

  private ManagedProcess(String name, Path log, Process process) {
    this.name = name;
    this.log = log;
    this.process = process;
  }

  /**
   * Starts a process.
   *
   * @param name name of the process, used in messages and for the log file
   * @param command program and arguments
   * @param logDirectory directory of the log file
   * @return the process, which may not be ready yet
   */
  public static ManagedProcess start(String name, List<String> command, Path logDirectory) {
    Path log = logDirectory.resolve(name + ".log");
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
      ManagedProcess managed = new ManagedProcess(name, log, process);
      Thread.ofVirtual().name(name + "-output").start(managed::readOutput);
      return managed;
    } catch (IOException e) {
      throw new UncheckedIOException("can't start " + name, e);
    }
  }

  private void readOutput() {
    try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8);
        Writer logWriter = Files.newBufferedWriter(log, CREATE, APPEND)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (!ready.isDone() && isReadyLine(line)) {
          ready.complete(Json.parse(line.getBytes(StandardCharsets.UTF_8)));
        } else {
          logWriter.append(line).append('\n').flush();
        }
      }
    } catch (IOException e) {
      ready.completeExceptionally(e);
    }
    ready.completeExceptionally(new IllegalStateException(name + " exited; see " + log));
  }

  /** Returns whether a line announces readiness; log lines are JSON with a {@code logger} field. */
  private static boolean isReadyLine(String line) {
    return line.startsWith("{") && !line.contains("\"logger\":");
  }

  /**
   * Waits until the process is ready.
   *
   * @return the JSON that the process printed
   * @throws IllegalStateException if it exits first or does not become ready in time
   */
  public JsonNode awaitReady() {
    try {
      return ready.get(READY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException(name + " did not become ready; see " + log, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(
          "interrupted while waiting for the process to become ready", e);
    }
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Asks the process to terminate, without waiting. Uses the process handle, because {@link
   * Process#destroy} closes the output streams, so that log lines written during shutdown would be
   * lost.
   */
  public void requestStop() {
    process.toHandle().destroy();
  }

  /**
   * Waits until the process has exited, and kills it after the timeout.
   *
   * @param timeoutMs timeout in milliseconds
   * @return its exit code
   */
  public int awaitEnd(int timeoutMs) {
    try {
      if (!process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) {
        kill();
      }
      return process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the process to exit", e);
    }
  }

  /** Kills the process and waits until it has exited. */
  public void kill() {
    try {
      process.destroyForcibly().waitFor(KILL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(
          "interrupted while waiting for the killed process to exit", e);
    }
  }

  /** Suspends the process, to simulate a long pause of its host. */
  public void suspend() {
    signal("STOP");
  }

  /** Resumes a suspended process. */
  public void resume() {
    signal("CONT");
  }

  private void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException("can't send a signal to " + name, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while sending a signal", e);
    }
  }
}
