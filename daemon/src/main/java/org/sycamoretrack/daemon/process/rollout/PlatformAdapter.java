package org.sycamoretrack.daemon.process.rollout;

import io.netty.channel.EventLoopGroup;
import org.sycamoretrack.daemon.farend.DeploymentCodec;
import org.sycamoretrack.daemon.farend.EndpointClient;
import org.sycamoretrack.daemon.farend.PartitionedStore;
import org.sycamoretrack.transport.request.HttpHandler;

/** What a platform brings to a node: its store, its endpoints, and the form of its calls. */
public interface PlatformAdapter {
  /**
   * Returns a client of the store.
   *
   * @param group the loop that it answers on
   */
  PartitionedStore store(EventLoopGroup group);

  /**
   * Returns a client of endpoints.
   *
   * @param group the loop that it answers on
   */
  EndpointClient endpoints(EventLoopGroup group);

  /** Returns what reads the rows of operators, trainers and endpoints. */
  DeploymentCodec codec();

  /**
   * Returns what answers the calls of callers and trainers.
   *
   * @param services what a node does for them
   */
  HttpHandler callers(NodeServices services);

  /**
   * Returns what answers the question whether the node takes connections.
   *
   * @param services tells whether it does
   */
  HttpHandler readiness(NodeServices services);
}
