package org.sycamoretrack.daemon.farend;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of hosts, which lags behind the truth. */
public interface HostList {
  /** What a host is for. */
  enum Role {
    /** The host runs a node of the system. */
    ENTRY,
    /** The host runs an endpoint. */
    ENDPOINT
  }

  /** Whether a host stays. */
  enum State {
    /** The host is in service. */
    LIVE,
    /** The host is about to be taken away and must get no new work. */
    LEAVING
  }

  /**
   * A host.
   *
   * @param hostId its id
   * @param role what it is for
   * @param address its IP number
   * @param port the port of its service
   * @param zone its availability zone
   * @param pool the pool of an endpoint, null for entry hosts
   * @param state whether it stays
   */
  record Host(
      String hostId, Role role, String address, int port, String zone, String pool, State state) {}

  /**
   * The list as it was at one time.
   *
   * @param asOfMs when it was right, in milliseconds since the epoch by the platform's clock
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
