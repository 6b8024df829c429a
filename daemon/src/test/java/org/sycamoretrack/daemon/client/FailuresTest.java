package org.sycamoretrack.daemon.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.transport.connection.EventLoops;

/** Tests that {@link Failures} logs what tasks and callbacks throw. */
class FailuresTest {
  private final EventLoopGroup group = EventLoops.start("test", 1);

  @AfterEach
  void stop() {
    EventLoops.stop(group);
  }

  private static void fail(String kind) {
    if (kind.equals("exception")) {
      throw new IllegalStateException("on purpose");
    }
    throw new NoClassDefFoundError("on purpose");
  }

  @ParameterizedTest
  @ValueSource(strings = {"exception", "error"})
  void aTaskThatThrowsIsRunAgain(String kind) throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(3);
    Runnable task =
        Failures.periodicTask(
            "test",
            () -> {
              runs.countDown();
              fail(kind);
            });

    group.next().scheduleAtFixedRate(task, 0, 5, TimeUnit.MILLISECONDS);

    assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
  }

  /** Guards against a callback that ends without a line in the log, and with it what it repeats. */
  @ParameterizedTest
  @ValueSource(strings = {"exception", "error"})
  void aCallbackThatThrowsIsLogged(String kind) {
    CompletableFuture<String> stage = new CompletableFuture<>();
    CompletableFuture<String> ended =
        stage.whenComplete(Failures.loggingExceptions((value, failure) -> fail(kind)));

    stage.complete("value");

    assertThat(ended).isCompletedWithValue("value");
  }
}
