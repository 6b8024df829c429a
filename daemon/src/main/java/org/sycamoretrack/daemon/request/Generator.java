package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;

/** Generates answers, independent of where endpoints run and of endpoint failures. */
public interface Generator {
  /**
   * Generates an answer.
   *
   * @param request what to generate
   * @param listener receives the answer, on the event loop
   * @param loop the event loop of the listener, which is also the calling thread's
   * @return the running request
   */
  Generation generate(GenerationRequest request, GenerationListener listener, EventLoop loop);
}
