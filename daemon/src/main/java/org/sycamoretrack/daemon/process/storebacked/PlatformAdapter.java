package org.sycamoretrack.daemon.process.storebacked;

import io.netty.channel.EventLoopGroup;
import java.util.Optional;
import org.sycamoretrack.daemon.client.DeploymentCodec;
import org.sycamoretrack.daemon.client.DutyClient;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.StoreTimeListener;
import org.sycamoretrack.transport.request.HttpHandler;
import org.sycamoretrack.transport.request.StrayResponse;

/**
 * Adapts a node to a platform: provides clients of its store and endpoints, and handlers for its
 * HTTP API.
 */
public interface PlatformAdapter {
  /**
   * Returns a client of the store.
   *
   * @param group the event loops on which its stages complete
   * @param timeListener receives the time of the store
   */
  PartitionedStore store(EventLoopGroup group, StoreTimeListener timeListener);

  /**
   * Returns a client of the endpoints.
   *
   * @param group the event loops on which its stages complete
   * @param leavingListener called on these loops when an endpoint says that it is leaving
   * @param strayListener receives the data of endpoints that isn't the response to a request
   */
  EndpointClient endpoints(
      EventLoopGroup group,
      EndpointClient.LeavingListener leavingListener,
      StrayResponse.Listener strayListener);

  /**
   * Returns a client of the control service; empty where the deployment has none.
   *
   * @param group the event loops on which its stages complete
   */
  Optional<DutyClient> duties(EventLoopGroup group);

  /** Returns the codec for the rows that operators, trainers and endpoints write. */
  DeploymentCodec codec();

  /**
   * Returns the handler for requests of callers and trainers.
   *
   * @param services the services of the node
   */
  HttpHandler callerHandler(NodeServices services);

  /**
   * Returns the handler for readiness checks.
   *
   * @param services the services of the node
   */
  HttpHandler readinessHandler(NodeServices services);
}
