package org.sycamoretrack.core.process;

/** What the members believe of one of them. Later states win over earlier ones at a tie. */
public enum MemberState {
  /** It answers and takes work. */
  ALIVE,
  /** It answers, finishes what it has and takes no new work. */
  LEAVING,
  /** It did not answer; unless it refutes this, it will be declared dead. */
  SUSPECT,
  /** It is gone. */
  DEAD
}
