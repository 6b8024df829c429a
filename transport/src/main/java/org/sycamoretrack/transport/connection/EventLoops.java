package org.sycamoretrack.transport.connection;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** Starts and stops groups of event loops. */
public final class EventLoops {
  private static final int STOP_TIMEOUT_MS = 2_000;

  private EventLoops() {}

  /**
   * Starts a group.
   *
   * @param name the prefix of the thread names
   * @param threads the number of event loops, each with its own thread
   */
  public static EventLoopGroup start(String name, int threads) {
    return new MultiThreadIoEventLoopGroup(
        threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
  }

  /**
   * Stops a group and waits for its threads to terminate.
   *
   * @param group the group
   */
  public static void stop(EventLoopGroup group) {
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MS);
  }
}
