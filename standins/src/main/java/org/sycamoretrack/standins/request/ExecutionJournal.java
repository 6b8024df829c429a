package org.sycamoretrack.standins.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The most recent {@value #CAPACITY} calls that a plain service executed, newest last. Thread-safe.
 */
public final class ExecutionJournal {
  private static final int CAPACITY = 200_000;

  /**
   * The execution of a call. Serialized as JSON with its components as fields.
   *
   * @param seq sequence number, starting at 1
   * @param atMs start time, in milliseconds since the epoch
   * @param method the HTTP method
   * @param path the path
   * @param requestId {@code X-Request-Id}, or null
   * @param attempt {@code X-Attempt}, or null
   * @param idempotencyKey {@code Idempotency-Key}, or null
   */
  public record Execution(
      long seq,
      long atMs,
      String method,
      String path,
      String requestId,
      String attempt,
      String idempotencyKey) {}

  private final Deque<Execution> executions = new ArrayDeque<>();
  private long nextSeq = 1;

  /** Creates an empty journal. */
  public ExecutionJournal() {}

  /**
   * Records an execution.
   *
   * @param method the HTTP method
   * @param path the path
   * @param requestId {@code X-Request-Id}, or null
   * @param attempt {@code X-Attempt}, or null
   * @param idempotencyKey {@code Idempotency-Key}, or null
   * @return the execution
   */
  public synchronized Execution add(
      String method, String path, String requestId, String attempt, String idempotencyKey) {
    Execution execution =
        new Execution(
            nextSeq++,
            System.currentTimeMillis(),
            method,
            path,
            requestId,
            attempt,
            idempotencyKey);
    executions.addLast(execution);
    if (executions.size() > CAPACITY) {
      executions.removeFirst();
    }
    return execution;
  }

  /**
   * Returns recorded executions.
   *
   * @param afterSeq return only executions with a higher sequence number
   */
  public synchronized List<Execution> executions(long afterSeq) {
    return executions.stream().filter(execution -> execution.seq() > afterSeq).toList();
  }
}
