package org.sycamoretrack.daemon.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.ObjectStore;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Writes finished samples asynchronously to the object store, so that the next owner of a step
 * doesn't have to generate them again.
 *
 * <p>Delivery doesn't wait for the journal, and correctness doesn't depend on it: a sample that is
 * missing from it is generated again. Samples are buffered per step, and each {@link #flush}, about
 * once a second, writes a step's buffer as one object. While the object store is unavailable,
 * samples are buffered up to a limit; further samples are skipped and counted.
 *
 * <p>Keys have the form {@code samples/track/step/digest/writer/number}. The digest covers the work
 * of the step, since a step that is reopened with other prompts or seeds must not get the old
 * samples. Restored samples are checked like all others: one that has become too old isn't
 * delivered.
 *
 * <p>Invariant: the journal returns only complete samples of the same work, at most one per slot.
 *
 * <p>Example: node a finishes slots 0 and 2 within a second, writes {@code …/a.1/1} and crashes
 * before slot 1 is written. Node b opens the step, reads the object, and generates slot 1 and the
 * remaining slots.
 *
 * <p>Thread-safe.
 */
public final class SampleJournal implements SampleSink {
  private static final System.Logger LOG = System.getLogger(SampleJournal.class.getName());
  private static final int MAX_CONCURRENT_CALLS = 16;

  /** The samples of a step that haven't been written. */
  private static final class Buffer {
    final String prefix;
    final List<Sample> samples = new ArrayList<>();
    long chars;
    boolean writing;
    boolean closed;

    Buffer(String prefix) {
      this.prefix = prefix;
    }
  }

  private final ObjectStore store;
  private final String writer;
  private final long maxPendingChars;
  private final Map<String, Buffer> buffers = new HashMap<>();
  private final LongAdder written = new LongAdder();
  private final LongAdder skipped = new LongAdder();
  private final LongAdder restored = new LongAdder();
  private long pendingChars;
  private long lastObjectNumber;
  private int activeWrites;

  /**
   * Creates an empty journal.
   *
   * @param store the object store
   * @param writer identifies this process uniquely among all past and future processes
   * @param maxPendingChars the maximum number of characters of buffered samples
   */
  public SampleJournal(ObjectStore store, String writer, long maxPendingChars) {
    this.store = store;
    this.writer = writer;
    this.maxPendingChars = maxPendingChars;
  }

  /** Returns the number of written samples. */
  public long writtenCount() {
    return written.sum();
  }

  /** Returns the number of samples that were skipped because the buffers were full. */
  public long skippedCount() {
    return skipped.sum();
  }

  /** Returns the number of restored samples. */
  public long restoredCount() {
    return restored.sum();
  }

  private static String prefix(StepSpec spec) {
    return "samples/%s/%d/%s/".formatted(spec.id().track(), spec.id().step(), spec.contentDigest());
  }

  @Override
  public synchronized void onFinished(StepSpec spec, Sample sample) {
    long chars = sample.text().length();
    if (pendingChars + chars > maxPendingChars) {
      skipped.increment();
      return;
    }
    Buffer buffer =
        buffers.computeIfAbsent(spec.contentDigest(), unused -> new Buffer(prefix(spec)));
    buffer.samples.add(sample);
    buffer.chars += chars;
    pendingChars += chars;
  }

  /** Starts to write the buffered samples. Called about once a second, from any thread. */
  public void flush() {
    for (Runnable write : prepareWrites()) {
      write.run();
    }
  }

  private synchronized List<Runnable> prepareWrites() {
    List<Runnable> writes = new ArrayList<>();
    Iterator<Buffer> iterator = buffers.values().iterator();
    while (iterator.hasNext()) {
      Buffer buffer = iterator.next();
      if (buffer.samples.isEmpty() && !buffer.writing) {
        iterator.remove();
      } else if (!buffer.writing && activeWrites < MAX_CONCURRENT_CALLS) {
        writes.add(prepareWrite(buffer));
      }
    }
    return writes;
  }

  private Runnable prepareWrite(Buffer buffer) {
    List<Sample> batch = List.copyOf(buffer.samples);
    long chars = buffer.chars;
    buffer.samples.clear();
    buffer.chars = 0;
    buffer.writing = true;
    activeWrites++;
    String key = buffer.prefix + writer + "/" + ++lastObjectNumber;
    return () ->
        store
            .put(key, SampleJournalCodec.write(batch))
            .whenComplete((done, failure) -> onWritten(buffer, batch, chars, failure));
  }

  private synchronized void onWritten(
      Buffer buffer, List<Sample> batch, long chars, Throwable failure) {
    activeWrites--;
    buffer.writing = false;
    if (failure == null || buffer.closed) {
      pendingChars -= chars;
      written.add(failure == null ? batch.size() : 0);
      return;
    }
    buffer.samples.addAll(0, batch);
    buffer.chars += chars;
    LOG.log(
        System.Logger.Level.WARNING,
        LogEvent.of("samples-not-written")
            .with("samples", batch.size())
            .with("message", Failures.unwrap(failure).getMessage()));
  }

  @Override
  public void onClosed(StepSpec spec) {
    dropBuffer(spec);
    forEachKey(spec, store::delete)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                LOG.log(
                    System.Logger.Level.WARNING,
                    LogEvent.of("samples-not-deleted")
                        .with("track", spec.id().track())
                        .with("step", spec.id().step()));
              }
            });
  }

  private synchronized void dropBuffer(StepSpec spec) {
    Buffer buffer = buffers.remove(spec.contentDigest());
    if (buffer != null) {
      buffer.closed = true;
      pendingChars -= buffer.chars;
      buffer.samples.clear();
      buffer.chars = 0;
    }
  }

  /**
   * Reads the samples that earlier owners of a step wrote.
   *
   * @param spec the step
   * @return the samples, at most one per slot; fails with a {@link
   *     org.sycamoretrack.core.process.SycamoreException} if the object store is unavailable
   */
  public CompletionStage<List<Sample>> restore(StepSpec spec) {
    Map<Integer, Sample> bySlot = new TreeMap<>();
    return forEachKey(
            spec, key -> store.get(key).thenAccept(bytes -> addAll(spec, key, bytes, bySlot)))
        .thenApply(
            done -> {
              synchronized (bySlot) {
                restored.add(bySlot.size());
                return List.copyOf(bySlot.values());
              }
            });
  }

  private static void addAll(
      StepSpec spec, String key, Optional<byte[]> bytes, Map<Integer, Sample> bySlot) {
    List<Sample> samples;
    try {
      samples = bytes.isEmpty() ? List.of() : SampleJournalCodec.read(bytes.get());
    } catch (IllegalArgumentException e) {
      LOG.log(System.Logger.Level.WARNING, LogEvent.of("samples-malformed").with("key", key));
      return;
    }
    synchronized (bySlot) {
      for (Sample sample : samples) {
        if (sample.slot() >= 0 && sample.slot() < spec.slots()) {
          bySlot.putIfAbsent(sample.slot(), sample);
        }
      }
    }
  }

  private CompletionStage<Void> forEachKey(
      StepSpec spec, Function<String, CompletionStage<Void>> action) {
    return store
        .list(prefix(spec))
        .thenCompose(
            keys -> {
              List<CompletableFuture<Void>> chains = new ArrayList<>();
              for (int i = 0; i < Math.min(MAX_CONCURRENT_CALLS, keys.size()); i++) {
                chains.add(chain(keys, i, action));
              }
              return CompletableFuture.allOf(chains.toArray(CompletableFuture[]::new));
            });
  }

  /**
   * Applies an action in sequence to the keys at every {@link #MAX_CONCURRENT_CALLS}th position.
   */
  private static CompletableFuture<Void> chain(
      List<String> keys, int first, Function<String, CompletionStage<Void>> action) {
    CompletionStage<Void> stage = CompletableFuture.completedFuture(null);
    for (int i = first; i < keys.size(); i += MAX_CONCURRENT_CALLS) {
      String key = keys.get(i);
      stage = stage.thenCompose(done -> action.apply(key));
    }
    return stage.toCompletableFuture();
  }
}
