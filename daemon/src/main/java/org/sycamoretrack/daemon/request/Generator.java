package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;

/** Generates answers, wherever the endpoint is and whatever happens to it meanwhile. */
public interface Generator {
  /**
   * Generates an answer.
   *
   * @param request what to generate
   * @param listener receives the answer, on the event loop
   * @param loop the event loop of the listener, which is also the calling thread's
   * @return the request under way
   */
  Generation generate(GenerationRequest request, GenerationListener listener, EventLoop loop);
}
