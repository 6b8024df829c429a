package org.sycamoretrack.transport.connection;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.transport.request.HttpCall;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponseListener;

/**
 * State of one client call: its timers and its completion. Confined to its event loop.
 *
 * <p>Invariant: the listener receives exactly one completion event and nothing after it.
 */
final class ClientExchange implements HttpCall {
  private final HttpRequest request;
  private final HttpResponseListener listener;
  private final EventLoop loop;
  private final Runnable onTimeout;
  private final ScheduledFuture<?> deadline;
  private ScheduledFuture<?> idleTimer;
  private long lastReadNanos;
  private Channel channel;
  private boolean maybeSent;
  private boolean finished;

  ClientExchange(
      HttpRequest request, HttpResponseListener listener, EventLoop loop, Runnable onTimeout) {
    this.onTimeout = onTimeout;
    this.request = request;
    this.listener = listener;
    this.loop = loop;
    this.deadline =
        loop.schedule(
            () -> timeOut("no complete response within " + request.timeoutMs() + " ms"),
            request.timeoutMs(),
            TimeUnit.MILLISECONDS);
  }

  HttpRequest request() {
    return request;
  }

  HttpResponseListener listener() {
    return listener;
  }

  boolean isFinished() {
    return finished;
  }

  boolean maybeSent() {
    return maybeSent;
  }

  /** Sets the channel that carries the call. Called just before the first byte is written. */
  void attachChannel(Channel channel) {
    this.channel = channel;
    this.maybeSent = true;
    this.lastReadNanos = System.nanoTime();
    if (request.idleTimeoutMs() > 0) {
      scheduleIdleCheck(request.idleTimeoutMs());
    }
  }

  private void scheduleIdleCheck(long delayMs) {
    idleTimer = loop.schedule(this::checkIdle, delayMs, TimeUnit.MILLISECONDS);
  }

  private void checkIdle() {
    long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastReadNanos);
    if (idleMs >= request.idleTimeoutMs()) {
      timeOut("no response bytes for " + request.idleTimeoutMs() + " ms");
    } else {
      scheduleIdleCheck(request.idleTimeoutMs() - idleMs);
    }
  }

  void onRead() {
    lastReadNanos = System.nanoTime();
  }

  private void timeOut(String message) {
    if (maybeSent && !finished) {
      onTimeout.run();
    }
    fail(new HttpException(HttpException.Kind.TIMED_OUT, maybeSent, message));
  }

  /** Completes the call successfully. */
  void succeed() {
    if (finish()) {
      listener.onEnd();
    }
  }

  /** Completes the call with a failure and closes its connection. */
  void fail(HttpException failure) {
    if (finish()) {
      if (channel != null) {
        channel.close();
      }
      listener.onFailure(failure);
    }
  }

  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    deadline.cancel(false);
    if (idleTimer != null) {
      idleTimer.cancel(false);
    }
    return true;
  }

  @Override
  public void cancel() {
    onLoop(() -> fail(new HttpException(HttpException.Kind.CANCELLED, maybeSent, "cancelled")));
  }

  @Override
  public void setAutoRead(boolean autoRead) {
    onLoop(
        () -> {
          if (channel != null && !finished) {
            channel.config().setAutoRead(autoRead);
          }
        });
  }

  private void onLoop(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }
}
