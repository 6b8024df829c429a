package org.sycamoretrack.daemon.client;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of hosts, which is updated with a delay. */
public interface HostList {
  /** What runs on a host. */
  enum Role {
    /** The host runs a node of the system. */
    ENTRY,
    /** The host runs an endpoint. */
    ENDPOINT
  }

  /** Whether a host remains in service. */
  enum State {
    /** The host is in service. */
    LIVE,
    /** The host is about to be removed and must get no new work. */
    LEAVING
  }

  /**
   * A host.
   *
   * @param hostId the id of the host
   * @param role what runs on it
   * @param address its IP address
   * @param port the port of its service
   * @param zone its availability zone
   * @param pool the pool of an endpoint, null for hosts with the role {@code ENTRY}
   * @param state whether it remains in service
   */
  record Host(
      String hostId, Role role, String address, int port, String zone, String pool, State state) {}

  /**
   * The list at one point in time.
   *
   * @param asOfMs the time of the snapshot, in milliseconds since the epoch by the platform's clock
   * @param hosts the hosts
   */
  record Snapshot(long asOfMs, List<Host> hosts) {
    /** Copies the hosts. */
    public Snapshot {
      hosts = List.copyOf(hosts);
    }
  }

  /** Reads the list; fails with a {@link org.sycamoretrack.core.process.SycamoreException}. */
  CompletionStage<Snapshot> hosts();
}
