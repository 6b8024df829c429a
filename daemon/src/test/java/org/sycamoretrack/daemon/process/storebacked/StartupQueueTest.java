package org.sycamoretrack.daemon.process.storebacked;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.transport.connection.EventLoops;

/** Guards against requests at the start of a node that are lost, reordered or held too long. */
class StartupQueueTest {
  private static final long MAX_WAIT_MS = 300;
  private static final int MAX_REQUESTS = 3;
  private static final int TIMEOUT_MS = 10_000;

  private final EventLoopGroup group = EventLoops.start("startup", 1);
  private final AtomicBoolean ready = new AtomicBoolean();
  private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();
  private final StartupQueue queue =
      new StartupQueue(group.next(), ready::get, MAX_WAIT_MS, MAX_REQUESTS);

  @AfterEach
  void stop() {
    EventLoops.stop(group);
  }

  private void submit(String... requests) {
    onLoop(() -> List.of(requests).forEach(request -> queue.handle(() -> handled.add(request))));
  }

  private void onLoop(Runnable task) {
    CompletableFuture.runAsync(task, group.next())
        .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .join();
  }

  private String next() {
    try {
      return handled.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for a request", e);
    }
  }

  @Test
  void handlesAtOnceWhenReady() {
    ready.set(true);
    submit("a");
    assertThat(handled).containsExactly("a");
  }

  @Test
  void handlesInOrderOfArrivalOnceReady() {
    submit("a", "b");
    assertThat(handled).isEmpty();
    ready.set(true);
    assertThat(List.of(next(), next())).containsExactly("a", "b");
  }

  @Test
  void handlesALaterRequestAfterTheOnesThatWait() {
    submit("a");
    onLoop(
        () -> {
          ready.set(true);
          queue.handle(() -> handled.add("b"));
        });
    assertThat(List.of(next(), next())).containsExactly("a", "b");
  }

  @Test
  void handlesAfterTheMaximumTimeWhenNotReady() {
    long startNs = System.nanoTime();
    submit("a");
    assertThat(next()).isEqualTo("a");
    assertThat(System.nanoTime() - startNs)
        .isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS));
  }

  @Test
  void handlesAtOnceWhenFull() {
    submit("a", "b", "c", "d");
    assertThat(handled).containsExactly("d");
  }

  @Test
  void staysOpenAfterItWasReady() {
    ready.set(true);
    submit("a");
    ready.set(false);
    submit("b");
    assertThat(handled).containsExactly("a", "b");
  }

  @Test
  void handlesTheOthersWhenOneFails() {
    onLoop(
        () ->
            queue.handle(
                () -> {
                  throw new IllegalStateException("simulated failure");
                }));
    submit("b");
    ready.set(true);
    assertThat(next()).isEqualTo("b");
  }
}
