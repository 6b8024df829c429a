package org.sycamoretrack.core.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Tracks each slot of a step from its first dispatch until the trainer has received its sample.
 *
 * <p>A slot is waiting, running, finished or received. The first attempt of a slot to finish is
 * kept; later ones are rejected. Only the polls of the trainer tell what it has received: a slot
 * becomes received when the bitmap of a poll contains it, and until then every poll delivers its
 * finished sample again. A finished sample that has become too stale for the trainer is discarded,
 * and its slot returns to waiting.
 *
 * <pre>
 *   waiting --start--> running --finish--> finished --acknowledge--> received
 *      ^                  |                   |
 *      +------fail--------+-----stale---------+
 * </pre>
 *
 * <p>Invariants: a received slot never changes again; a slot has at most one finished sample; the
 * samples returned by {@link #deliverable} are finished, not received and not too stale.
 *
 * <p>Example: slot 3 runs, finishes with weight version 5, and is delivered. The response to the
 * poll is lost, so the bitmap of the next poll does not contain slot 3, and the sample is delivered
 * again. If the trainer is meanwhile training version 7 and accepts a lag of 1 version, the sample
 * is too stale, and slot 3 waits to be generated again.
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
   * Creates the state of a step in which all slots are waiting.
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
   * Starts an attempt of the lowest waiting slot.
   *
   * @return the slot, which is now running; empty if no slot is waiting
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
   * Returns the number of the latest attempt of a slot.
   *
   * @param slot the slot
   * @return the number, counted from 1; 0 before the first attempt
   */
  public int attempt(int slot) {
    return attempts[slot];
  }

  /**
   * Records another attempt of a running slot.
   *
   * @param slot a running slot
   * @return the number of the new attempt
   */
  public int addAttempt(int slot) {
    return ++attempts[slot];
  }

  /**
   * Records a finished sample of any attempt.
   *
   * @param sample the sample
   * @return whether the sample was kept; false if its slot is already finished or received
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
   * Records that a slot has no attempt in progress any more.
   *
   * @param slot the slot; ignored unless it is running
   */
  public void fail(int slot) {
    if (phases[slot] == Phase.RUNNING) {
      transition(slot, Phase.WAITING);
    }
  }

  /**
   * Records which samples the trainer has received.
   *
   * @param received the bitmap of a poll
   * @return the slots that were running, whose attempts can be cancelled
   */
  public List<Integer> acknowledge(SlotBitmap received) {
    List<Integer> redundant = new ArrayList<>();
    for (int slot = 0; slot < phases.length; slot++) {
      if (phases[slot] != Phase.RECEIVED && received.contains(slot)) {
        if (phases[slot] == Phase.RUNNING) {
          redundant.add(slot);
        }
        discardSample(slot);
        transition(slot, Phase.RECEIVED);
      }
    }
    return redundant;
  }

  /**
   * Returns finished samples that the trainer has not received. Samples that are too stale are
   * discarded, and their slots return to waiting.
   *
   * @param oldestVersion the oldest weight version that the trainer accepts in any span of a sample
   * @param maxSamples the largest number of samples to return
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

  /** Returns whether the trainer has received every slot. */
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

  /** Returns the number of finished slots that the trainer has not acknowledged. */
  public int finished() {
    return count(Phase.FINISHED);
  }

  /** Returns the number of slots that the trainer has acknowledged. */
  public int received() {
    return count(Phase.RECEIVED);
  }

  /** Returns the total length of the texts held in memory, in characters. */
  public long finishedChars() {
    return finishedChars;
  }

  /** Returns the number of tokens of finished samples that were discarded as too stale. */
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
