package org.sycamoretrack.daemon.version;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceKey;
import org.sycamoretrack.core.version.ValidationError;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.TransactionResult;

/**
 * Executes one change until its outcome is known or its deadline has passed. Confined to the
 * control thread.
 *
 * <p>Each attempt reads the head, updates the node's configuration to that version, checks the
 * precondition and the references against it, and commits. When another change was committed
 * meanwhile, a new attempt starts. When the response to the commit is lost, the same transaction is
 * sent again: it is conditional on the same version of the head row, so it can take effect only
 * once. A conflict then means that either the first transmission took effect, which the recent
 * changes of the head show, or another change did, and the first transmission can no longer take
 * effect.
 *
 * <p>Example: the commit on head row version 7 gets no response. It is sent again and returns a
 * conflict: the head row is at version 8 and lists this change, so it was accepted.
 */
final class ChangeExecution {
  private static final long RETRY_DELAY_MS = 200;

  /** The operations of the service that an execution needs. */
  interface Context {
    /** Returns the configuration in force. */
    Configuration current();

    /** Puts a configuration in force if it is newer. */
    void apply(Configuration next);

    /** Runs an action on the control thread when a call has completed. */
    <T> void onResult(CompletionStage<T> stage, BiConsumer<T, Throwable> action);

    /** Runs an action on the control thread after a delay. */
    void schedule(long delayMs, Runnable action);

    /** Returns the monotonic time in milliseconds. */
    long nowMs();
  }

  private final Context context;
  private final ConfigurationStore store;
  private final Change change;
  private final String changeId;
  private final long deadlineMs;
  private final CompletableFuture<Configuration> result = new CompletableFuture<>();
  private ConfigurationHead head;
  private Configuration next;
  private boolean outcomeUnknown;
  private boolean attempted;

  ChangeExecution(
      Context context, ConfigurationStore store, Change change, String changeId, long deadlineMs) {
    this.context = context;
    this.store = store;
    this.change = change;
    this.changeId = changeId;
    this.deadlineMs = deadlineMs;
  }

  CompletableFuture<Configuration> result() {
    return result;
  }

  /**
   * Reads the configuration and commits the change to it. A conflict means that another change was
   * accepted, so the next attempt follows at once.
   */
  void attempt() {
    if (attempted && context.nowMs() >= deadlineMs) {
      fail(
          new SycamoreException(
              ErrorCode.OVERLOADED,
              ExecutionOutcome.NOT_RUN,
              "too many concurrent changes; the change was not executed"));
      return;
    }
    attempted = true;
    context.onResult(store.readHead(), this::onHead);
  }

  private void onHead(ConfigurationHead latestHead, Throwable failure) {
    if (failure != null) {
      fail(readFailed(failure));
      return;
    }
    head = latestHead;
    context.onResult(store.load(context.current(), head), this::onLoaded);
  }

  private void onLoaded(Configuration loaded, Throwable failure) {
    if (failure != null) {
      fail(readFailed(failure));
      return;
    }
    context.apply(loaded);
    if (context.current().version() != head.version()) {
      attempt();
      return;
    }
    try {
      check(context.current());
    } catch (SycamoreException | VersionConflictException e) {
      result.completeExceptionally(e);
      return;
    }
    next = change.applyTo(context.current(), head.version() + 1);
    commit();
  }

  private void check(Configuration current) {
    ResourceKey key = change.key();
    Resource resource = current.resource(key.kind(), key.name()).orElse(null);
    if (!change.precondition().holds(resource)) {
      throw new VersionConflictException(resource);
    }
    switch (change) {
      case Change.Put put -> {
        List<ValidationError> errors = current.checkReferences(put.resource());
        if (!errors.isEmpty()) {
          throw ValidationErrors.toException(errors);
        }
      }
      case Change.Delete delete -> checkDelete(current, resource);
    }
  }

  private void checkDelete(Configuration current, Resource resource) {
    if (resource == null) {
      throw new SycamoreException(
          ErrorCode.NOT_FOUND, ExecutionOutcome.NOT_RUN, "there is no " + change.key());
    }
    List<ResourceKey> referrers = current.referrers(change.key());
    if (!referrers.isEmpty()) {
      throw new SycamoreException(
          ErrorCode.INVALID_REQUEST,
          ExecutionOutcome.NOT_RUN,
          change.key() + " is still referenced by " + referrers);
    }
  }

  private void commit() {
    context.onResult(store.commit(change, head, changeId), this::onCommitted);
  }

  private void onCommitted(TransactionResult commitResult, Throwable failure) {
    if (failure != null) {
      onCommitFailed(failure);
      return;
    }
    switch (commitResult) {
      case TransactionResult.Committed committed -> succeed();
      case TransactionResult.Conflict conflict when outcomeUnknown ->
          context.onResult(store.readHead(), this::resolveOutcome);
      case TransactionResult.Conflict conflict -> attempt();
    }
  }

  private void onCommitFailed(Throwable failure) {
    boolean notRun =
        Failures.unwrap(failure) instanceof SycamoreException error
            && error.outcome() == ExecutionOutcome.NOT_RUN;
    if (notRun && !outcomeUnknown) {
      fail(failure);
      return;
    }
    outcomeUnknown = true;
    retryUntilDeadline(this::commit);
  }

  private void resolveOutcome(ConfigurationHead latestHead, Throwable failure) {
    if (failure != null) {
      retryUntilDeadline(() -> context.onResult(store.readHead(), this::resolveOutcome));
    } else if (latestHead.contains(changeId)) {
      succeed();
    } else if (latestHead.coversChangesSince(head.version())) {
      outcomeUnknown = false;
      attempt();
    } else {
      fail(unknownOutcome());
    }
  }

  private void retryUntilDeadline(Runnable retry) {
    if (context.nowMs() < deadlineMs) {
      context.schedule(RETRY_DELAY_MS, retry);
    } else {
      fail(unknownOutcome());
    }
  }

  /** Returns the error for a failed read, after which nothing was written. */
  private static SycamoreException readFailed(Throwable failure) {
    return new SycamoreException(
        ErrorCode.PLATFORM_UNAVAILABLE,
        ExecutionOutcome.NOT_RUN,
        "reading the configuration table failed: " + Failures.unwrap(failure).getMessage());
  }

  private static SycamoreException unknownOutcome() {
    return new SycamoreException(
        ErrorCode.PLATFORM_UNAVAILABLE,
        ExecutionOutcome.UNKNOWN,
        "the platform did not report whether the change took effect; read the resource again");
  }

  private void succeed() {
    context.apply(next);
    result.complete(next);
  }

  private void fail(Throwable failure) {
    result.completeExceptionally(Failures.unwrap(failure));
  }
}
