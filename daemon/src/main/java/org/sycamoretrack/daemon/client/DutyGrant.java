package org.sycamoretrack.daemon.client;

import java.util.Objects;

/**
 * The permission under which the holder of a duty calls the control service.
 *
 * @param holder the id of the node that holds the lease of the duty
 * @param epoch the epoch of the lease, which increases whenever the holder changes
 */
public record DutyGrant(String holder, long epoch) {
  /** Checks that the grant names a holder and an epoch. */
  public DutyGrant {
    Objects.requireNonNull(holder, "holder");
    if (epoch <= 0) {
      throw new IllegalArgumentException("a grant requires the epoch of a held lease");
    }
  }
}
