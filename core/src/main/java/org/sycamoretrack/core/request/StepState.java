package org.sycamoretrack.core.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Tracks each slot of a step from its first dispatch until its trainer has it.
 *
 * <p>A slot is waiting, running, finished or received. The first finished attempt of a slot wins;
 * later ones are refused. What the trainer has is known from its polls alone: a slot becomes
 * received when a poll's bitmap names it, and a finished sample is offered again by every poll that
 * does not. A finished sample that has become too old for the trainer is dropped and its slot waits
 * again.
 *
 * <pre>
 *   waiting --start--> running --finish--> finished --acknowledge--> received
 *      ^                  |                   |
 *      +------fail--------+----too old--------+
 * </pre>
 *
 * <p>Invariants: a received slot never changes again; a slot has at most one finished sample; the
 * slots that {@link #deliverable} gives are finished, not received and not too old.
 *
 * <p>Example: slot 3 runs, finishes with version 5, and is delivered. The poll's answer is lost, so
 * the next poll does not name slot 3, and it is delivered again. When the trainer meanwhile trains
 * version 7 with a bound of 1, the sample is too old, and slot 3 waits to be made again.
 *
 * <p>Not thread-safe.
 */
public final class StepState {
  private enum Phase {
    WAITING,
    RUNNING,
    FINISHED,
    RECEIVED
  }

  private final StepSpec spec;
  private final Phase[] phases;
  private final int[] attempts;
  private final Sample[] samples;
  private final Map<Phase, BitSet> slotsByPhase = new EnumMap<>(Phase.class);
  private long droppedTokens;
  private long finishedChars;

  /**
   * Creates the state of a step of which nothing was made yet.
   *
   * @param spec the step
   */
  public StepState(StepSpec spec) {
    this.spec = spec;
    this.phases = new Phase[spec.slots()];
    this.attempts = new int[spec.slots()];
    this.samples = new Sample[spec.slots()];
    Arrays.fill(phases, Phase.WAITING);
    for (Phase phase : Phase.values()) {
      slotsByPhase.put(phase, new BitSet(spec.slots()));
    }
    slotsByPhase.get(Phase.WAITING).set(0, spec.slots());
  }

  /** Returns the step. */
  public StepSpec spec() {
    return spec;
  }

  /**
   * Takes a waiting slot to be run.
   *
   * @return the lowest waiting slot, now running; empty when none waits
   */
  public OptionalInt startNext() {
    int slot = slotsByPhase.get(Phase.WAITING).nextSetBit(0);
    if (slot < 0) {
      return OptionalInt.empty();
    }
    transition(slot, Phase.RUNNING);
    attempts[slot]++;
    return OptionalInt.of(slot);
  }

  /**
   * Returns the number of the newest attempt of a slot.
   *
   * @param slot the slot
   * @return the number, 0 before the first
   */
  public int attempt(int slot) {
    return attempts[slot];
  }

  /**
   * Records a second attempt of a running slot.
   *
   * @param slot a running slot
   * @return the number of the new attempt
   */
  public int addAttempt(int slot) {
    return ++attempts[slot];
  }

  /**
   * Records a finished sample, of whichever attempt.
   *
   * @param sample the sample
   * @return whether it is the first of its slot; otherwise it is not kept
   */
  public boolean finish(Sample sample) {
    int slot = sample.slot();
    if (phases[slot] == Phase.FINISHED || phases[slot] == Phase.RECEIVED) {
      return false;
    }
    samples[slot] = sample;
    finishedChars += sample.text().length();
    transition(slot, Phase.FINISHED);
    return true;
  }

  /**
   * Records that no attempt of a slot is under way any more.
   *
   * @param slot the slot; nothing happens unless it is running
   */
  public void fail(int slot) {
    if (phases[slot] == Phase.RUNNING) {
      transition(slot, Phase.WAITING);
    }
  }

  /**
   * Records what the trainer has.
   *
   * @param received the bitmap of a poll
   * @return the slots that were running and need not run on
   */
  public List<Integer> acknowledge(SlotBitmap received) {
    List<Integer> needless = new ArrayList<>();
    for (int slot = 0; slot < phases.length; slot++) {
      if (phases[slot] != Phase.RECEIVED && received.contains(slot)) {
        if (phases[slot] == Phase.RUNNING) {
          needless.add(slot);
        }
        discardSample(slot);
        transition(slot, Phase.RECEIVED);
      }
    }
    return needless;
  }

  /**
   * Gives finished samples that the trainer does not have.
   *
   * @param oldestVersion the oldest weight version that the trainer takes; samples with an older
   *     span are dropped and their slots wait again
   * @param maxSamples the most samples to give
   */
  public List<Sample> deliverable(long oldestVersion, int maxSamples) {
    List<Sample> result = new ArrayList<>();
    BitSet finished = slotsByPhase.get(Phase.FINISHED);
    for (int slot = finished.nextSetBit(0);
        slot >= 0 && result.size() < maxSamples;
        slot = finished.nextSetBit(slot + 1)) {
      if (samples[slot].oldestVersion() >= oldestVersion) {
        result.add(samples[slot]);
      } else {
        discardStale(slot);
      }
    }
    return result;
  }

  /**
   * Returns whether a slot is running.
   *
   * @param slot the slot
   */
  public boolean isRunning(int slot) {
    return phases[slot] == Phase.RUNNING;
  }

  /** Returns whether the trainer has every slot. */
  public boolean isComplete() {
    return count(Phase.RECEIVED) == phases.length;
  }

  /** Returns the number of waiting slots. */
  public int waiting() {
    return count(Phase.WAITING);
  }

  /** Returns the number of running slots. */
  public int running() {
    return count(Phase.RUNNING);
  }

  /** Returns the number of finished slots that the trainer was not seen to have. */
  public int finished() {
    return count(Phase.FINISHED);
  }

  /** Returns the number of slots that the trainer has. */
  public int received() {
    return count(Phase.RECEIVED);
  }

  /** Returns the length of the texts that are kept, in characters. */
  public long finishedChars() {
    return finishedChars;
  }

  /** Returns the tokens of finished samples that were dropped because they were too old. */
  public long droppedTokens() {
    return droppedTokens;
  }

  private void discardStale(int slot) {
    droppedTokens += samples[slot].tokens();
    discardSample(slot);
    transition(slot, Phase.WAITING);
  }

  private void discardSample(int slot) {
    if (samples[slot] != null) {
      finishedChars -= samples[slot].text().length();
      samples[slot] = null;
    }
  }

  private int count(Phase phase) {
    return slotsByPhase.get(phase).cardinality();
  }

  private void transition(int slot, Phase phase) {
    slotsByPhase.get(phases[slot]).clear(slot);
    phases[slot] = phase;
    slotsByPhase.get(phase).set(slot);
  }
}
