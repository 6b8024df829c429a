package org.sycamoretrack.daemon.request.batch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.sycamoretrack.core.request.batch.ItemProgress;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Saves the failed runs of the items of a batch in the store, so that the limit on them also holds
 * across changes of the owner.
 *
 * <p>A failure is written at once, or with others that occurred during the write before it: one
 * write is in progress at a time. The rows of a write that failed are written again by the next
 * one.
 *
 * <p>Confined to the traffic loop.
 */
final class FailureSaver {
  private static final System.Logger LOG = System.getLogger(FailureSaver.class.getName());

  private final Function<List<BatchRowCodec.Slice>, CompletionStage<Void>> store;
  private final Set<ItemProgress> unsaved = new LinkedHashSet<>();
  private List<ItemProgress> writing = List.of();

  /**
   * Creates a saver.
   *
   * @param store writes rows to the store
   */
  FailureSaver(Function<List<BatchRowCodec.Slice>, CompletionStage<Void>> store) {
    this.store = store;
  }

  /** Called when a run of an item failed. */
  void add(ItemProgress item) {
    unsaved.add(item);
    write();
  }

  /** Writes the unsaved rows unless a write is in progress. To be called periodically. */
  void write() {
    if (!writing.isEmpty() || unsaved.isEmpty()) {
      return;
    }
    writing = unsaved.stream().limit(BatchRowCodec.MAX_ROWS_PER_WRITE).toList();
    writing.forEach(unsaved::remove);
    store
        .apply(rows(writing))
        .whenComplete(
            Failures.loggingExceptions(
                (done, failure) -> {
                  if (failure != null) {
                    unsaved.addAll(writing);
                    LOG.log(
                        System.Logger.Level.WARNING,
                        LogEvent.of("failures-not-saved")
                            .with("items", writing.size())
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  }
                  writing = List.of();
                }));
  }

  /** Returns the rows of which no write has succeeded yet. */
  List<BatchRowCodec.Slice> unsavedRows() {
    Set<ItemProgress> items = new LinkedHashSet<>(unsaved);
    items.addAll(writing);
    return rows(List.copyOf(items));
  }

  private static List<BatchRowCodec.Slice> rows(List<ItemProgress> items) {
    return items.stream().map(BatchRowCodec::failureRow).toList();
  }
}
