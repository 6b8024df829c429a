package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;
import org.sycamoretrack.transport.request.HttpResponseStream;

/** A call that another node forwarded. Its response can't be streamed. */
final class ForwardedExchange implements HttpExchange {
  private final CallMessage.Request request;
  private final EventLoop loop;
  private final Consumer<HttpResponse> responseListener;
  private final AtomicBoolean responded = new AtomicBoolean();
  private boolean abandoned;
  private Runnable onAbandonedAction;

  ForwardedExchange(
      CallMessage.Request request, EventLoop loop, Consumer<HttpResponse> responseListener) {
    this.request = request;
    this.loop = loop;
    this.responseListener = responseListener;
  }

  @Override
  public String method() {
    return request.method();
  }

  @Override
  public String path() {
    int query = request.target().indexOf('?');
    return query < 0 ? request.target() : request.target().substring(0, query);
  }

  @Override
  public String target() {
    return request.target();
  }

  @Override
  public String queryParam(String name) {
    List<String> values = new QueryStringDecoder(request.target()).parameters().get(name);
    return values == null ? null : values.get(0);
  }

  @Override
  public HttpHeaders headers() {
    return request.headers();
  }

  @Override
  public byte[] body() {
    return request.body();
  }

  @Override
  public EventLoop eventLoop() {
    return loop;
  }

  @Override
  public void respond(HttpResponse response) {
    if (responded.compareAndSet(false, true)) {
      responseListener.accept(response);
    }
  }

  @Override
  public HttpResponseStream startStream(int status, Map<String, String> headers) {
    throw new UnsupportedOperationException("the response to a forwarded call can't be streamed");
  }

  @Override
  public void abort() {
    SycamoreException error =
        new SycamoreException(
            ErrorCode.ENDPOINT_FAILED,
            ExecutionOutcome.UNKNOWN,
            "the response to the forwarded call was interrupted");
    respond(ErrorResponses.response(error));
  }

  @Override
  public synchronized void onClientDisconnect(Runnable action) {
    onAbandonedAction = action;
    if (abandoned) {
      loop.execute(action);
    }
  }

  /** Called when the node that forwarded the call has cancelled it or is disconnected. */
  synchronized void abandon() {
    if (!abandoned && !responded.get()) {
      abandoned = true;
      if (onAbandonedAction != null) {
        loop.execute(onAbandonedAction);
      }
    }
  }
}
