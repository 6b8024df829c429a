package org.sycamoretrack.core.request;

/** An entry of an {@link AdmissionQueue}. */
final class QueuedRequest<T> {
  final T item;
  final RequestClass requestClass;
  final QueueFlow flow;
  final long costTokens;
  final long deadlineMs;
  final long queuedAtMs;
  final int rank;
  final long sequence;

  QueuedRequest(
      T item,
      RequestClass requestClass,
      QueueFlow flow,
      long costTokens,
      long deadlineMs,
      long queuedAtMs,
      int rank,
      long sequence) {
    this.item = item;
    this.requestClass = requestClass;
    this.flow = flow;
    this.costTokens = costTokens;
    this.deadlineMs = deadlineMs;
    this.queuedAtMs = queuedAtMs;
    this.rank = rank;
    this.sequence = sequence;
  }
}
