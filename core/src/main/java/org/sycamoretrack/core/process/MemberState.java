package org.sycamoretrack.core.process;

/**
 * The state of a member. At the same epoch and incarnation a later state overrides an earlier one.
 */
public enum MemberState {
  /** The member responds and accepts work. */
  ALIVE,
  /** The member responds, finishes its current work and accepts no new work. */
  LEAVING,
  /** The member did not respond and is declared dead unless it refutes the suspicion in time. */
  SUSPECT,
  /** The member has failed or left. */
  DEAD
}
