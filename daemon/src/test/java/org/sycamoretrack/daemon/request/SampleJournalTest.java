package org.sycamoretrack.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.GroupSpec;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepId;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.core.request.VersionSpan;
import org.sycamoretrack.daemon.client.ObjectStore;

/**
 * Tests that {@link SampleJournal} restores each finished sample at most once, only for the same
 * work, and within its buffer limit. The in-memory object store can be made unavailable.
 */
class SampleJournalTest {
  private static final StepSpec SPEC = spec("prompt", 4711);

  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final SampleJournal journal = new SampleJournal(store, "a/1", 100);

  private static final class InMemoryObjectStore implements ObjectStore {
    final TreeMap<String, byte[]> objects = new TreeMap<>();
    boolean unavailable;

    private <T> CompletionStage<T> complete(T value) {
      return unavailable
          ? CompletableFuture.failedFuture(
              new SycamoreException(
                  ErrorCode.PLATFORM_UNAVAILABLE, ExecutionOutcome.NOT_RUN, "unavailable"))
          : CompletableFuture.completedFuture(value);
    }

    @Override
    public CompletionStage<Void> put(String key, byte[] bytes) {
      if (!unavailable) {
        objects.put(key, bytes);
      }
      return complete(null);
    }

    @Override
    public CompletionStage<Boolean> putIfAbsent(String key, byte[] bytes) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Optional<byte[]>> get(String key) {
      return complete(Optional.ofNullable(objects.get(key)));
    }

    @Override
    public CompletionStage<Void> delete(String key) {
      objects.remove(key);
      return complete(null);
    }

    @Override
    public CompletionStage<List<String>> list(String prefix) {
      return complete(objects.keySet().stream().filter(key -> key.startsWith(prefix)).toList());
    }
  }

  private static StepSpec spec(String prompt, long seed) {
    return new StepSpec(
        new StepId("cut-patterns", 12), 7, 64, List.of(new GroupSpec(prompt, 40, seed)));
  }

  private static Sample sample(int slot, String text, Double score) {
    return new Sample(
        slot,
        text,
        3,
        "stop",
        2,
        score,
        List.of(new VersionSpan(6, 0, 1), new VersionSpan(7, 1, 3)));
  }

  private List<Sample> restored(StepSpec spec) {
    return new SampleJournal(store, "b/1", 100).restore(spec).toCompletableFuture().join();
  }

  @Test
  void nextOwnerReadsWhatWasWritten() {
    Sample first = sample(3, "cut ä", 0.25);
    Sample second = sample(0, "cut b", null);
    journal.onFinished(SPEC, first);
    journal.flush();
    journal.onFinished(SPEC, second);
    journal.flush();
    assertThat(restored(SPEC)).containsExactly(second, first);
    assertThat(journal.writtenCount()).isEqualTo(2);
    assertThat(store.objects).hasSize(2);
  }

  @Test
  void flushWritesOneObjectAndAnIdleStepWritesNone() {
    for (int slot = 0; slot < 40; slot++) {
      journal.onFinished(SPEC, sample(slot, "t", null));
    }
    journal.flush();
    journal.flush();
    assertThat(store.objects).hasSize(1);
    assertThat(restored(SPEC)).hasSize(40);
  }

  @ParameterizedTest
  @CsvSource({"other prompt, 4711", "prompt, 4712"})
  void stepWithDifferentWorkRestoresNoSamples(String prompt, long seed) {
    journal.onFinished(SPEC, sample(1, "a", null));
    journal.flush();
    assertThat(restored(spec(prompt, seed))).isEmpty();
    assertThat(restored(spec("prompt", 4711))).hasSize(1);
  }

  @Test
  void retriesWritesAfterAnOutage() {
    store.unavailable = true;
    journal.onFinished(SPEC, sample(1, "a", null));
    journal.flush();
    journal.onFinished(SPEC, sample(2, "b", null));
    journal.flush();
    store.unavailable = false;
    journal.flush();
    assertThat(restored(SPEC)).extracting(Sample::slot).containsExactly(1, 2);
    assertThat(journal.skippedCount()).isZero();
  }

  @Test
  void samplesBeyondTheBoundAreSkippedAndCounted() {
    store.unavailable = true;
    for (int slot = 0; slot < 40; slot++) {
      journal.onFinished(SPEC, sample(slot, "0123456789", null));
      journal.flush();
    }
    assertThat(journal.skippedCount()).isEqualTo(30);
    store.unavailable = false;
    journal.flush();
    assertThat(restored(SPEC)).hasSize(10);
    journal.onFinished(SPEC, sample(39, "0123456789", null));
    journal.flush();
    assertThat(restored(SPEC)).as("room again").hasSize(11);
  }

  @Test
  void slotWrittenTwiceIsRestoredOnce() {
    journal.onFinished(SPEC, sample(1, "a", null));
    journal.flush();
    SampleJournal next = new SampleJournal(store, "b/1", 100);
    next.onFinished(SPEC, sample(1, "again", null));
    next.flush();
    assertThat(restored(SPEC)).extracting(Sample::text).containsExactly("a");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          not JSON
          {"samples": {}}
          {"samples": [{"slot": 1, "text": "x"}]}
          {"samples": [{"slot": 1, "text": "x", "tokens": 2, "finishReason": "stop", "attempt": 1, \
          "spans": [{"version": 7, "fromToken": 0, "toToken": 1}]}]}
          {"samples": [{"slot": 40, "text": "x", "tokens": 1, "finishReason": "stop", \
          "attempt": 1, "spans": [{"version": 7, "fromToken": 0, "toToken": 1}]}]}
          """)
  void malformedObjectsAreIgnored(String content) {
    journal.onFinished(SPEC, sample(1, "a", null));
    journal.flush();
    String key = store.objects.firstKey() + "x";
    store.objects.put(key, content.getBytes(StandardCharsets.UTF_8));
    assertThat(restored(SPEC)).containsExactly(sample(1, "a", null));
  }

  @Test
  void closedStepIsDeleted() {
    journal.onFinished(SPEC, sample(1, "a", null));
    journal.flush();
    journal.onFinished(SPEC, sample(2, "b", null));
    journal.onClosed(SPEC);
    journal.flush();
    assertThat(store.objects).isEmpty();
  }

  @Test
  void restoreFailsDuringAnOutage() {
    store.unavailable = true;
    assertThat(journal.restore(SPEC)).isCompletedExceptionally();
  }
}
