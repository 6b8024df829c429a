package org.sycamoretrack.standins.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The calls that a plain service has run, newest last, in bounded memory. Thread-safe. */
public final class ExecutionJournal {
  private static final int CAPACITY = 200_000;

  /**
   * One execution.
   *
   * @param seq its number, from 1
   * @param atMs when it began, milliseconds since the epoch
   * @param method the method
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
   * @param method the method
   * @param path the path
   * @param requestId {@code X-Request-Id}, or null
   * @param attempt {@code X-Attempt}, or null
   * @param idempotencyKey {@code Idempotency-Key}, or null
   * @return the record
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
   * Returns executions.
   *
   * @param afterSeq only those with a higher number
   */
  public synchronized List<Execution> executions(long afterSeq) {
    return executions.stream().filter(execution -> execution.seq() > afterSeq).toList();
  }
}
