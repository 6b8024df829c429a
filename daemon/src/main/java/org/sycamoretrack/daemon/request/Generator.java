package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;

/** Generates completions, independently of where endpoints run and of endpoint failures. */
public interface Generator {
  /**
   * Generates a completion.
   *
   * @param request what to generate
   * @param listener receives the generated output, on the event loop
   * @param loop the event loop of the listener, which is also the calling thread's
   * @return the running request
   */
  Generation generate(GenerationRequest request, GenerationListener listener, EventLoop loop);
}
