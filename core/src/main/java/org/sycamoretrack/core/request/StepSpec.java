package org.sycamoretrack.core.request;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * What a trainer asks for in one step. Immutable.
 *
 * <p>Slots are numbered from 0 in the order of the groups. Example: groups of 2 and 3 samples have
 * the slots 0, 1 and 2, 3, 4; slot 3 is index 1 of group 1.
 */
public final class StepSpec {
  /** The largest number of slots in a step. */
  public static final int MAX_SLOTS = 8_192;

  /** The largest number of tokens of a sample. */
  public static final int MAX_TOKENS = 65_536;

  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private final StepId id;
  private final long trainsVersion;
  private final int maxTokens;
  private final List<GroupSpec> groups;
  private final int[] firstSlots;
  private final int slots;

  /**
   * Creates a step.
   *
   * @param id track and number
   * @param trainsVersion the weight version that the trainer trains now
   * @param maxTokens the most tokens of a sample
   * @param groups the groups, 1 to {@link #MAX_SLOTS} samples in all
   * @throws IllegalArgumentException when a limit is broken
   */
  public StepSpec(StepId id, long trainsVersion, int maxTokens, List<GroupSpec> groups) {
    this.id = id;
    this.trainsVersion = trainsVersion;
    this.maxTokens = maxTokens;
    this.groups = List.copyOf(groups);
    if (maxTokens < 1 || maxTokens > MAX_TOKENS) {
      throw new IllegalArgumentException("maxTokens must be 1 to " + MAX_TOKENS);
    }
    this.firstSlots = new int[groups.size()];
    long count = 0;
    for (int i = 0; i < groups.size(); i++) {
      firstSlots[i] = (int) count;
      count += groups.get(i).samples();
      if (count > MAX_SLOTS) {
        throw new IllegalArgumentException("a step has at most " + MAX_SLOTS + " samples");
      }
    }
    if (count < 1) {
      throw new IllegalArgumentException("a step has at least 1 sample");
    }
    this.slots = (int) count;
  }

  /** Returns track and number. */
  public StepId id() {
    return id;
  }

  /** Returns the weight version that the trainer trained when it opened the step. */
  public long trainsVersion() {
    return trainsVersion;
  }

  /** Returns the most tokens of a sample. */
  public int maxTokens() {
    return maxTokens;
  }

  /** Returns the groups. */
  public List<GroupSpec> groups() {
    return groups;
  }

  /** Returns the number of slots. */
  public int slots() {
    return slots;
  }

  /**
   * Returns the group of a slot.
   *
   * @param slot the slot
   * @return the group's position
   */
  public int groupOf(int slot) {
    int position = java.util.Arrays.binarySearch(firstSlots, slot);
    return position >= 0 ? position : -position - 2;
  }

  /**
   * Returns the index of a slot in its group.
   *
   * @param slot the slot
   */
  public int indexOf(int slot) {
    return slot - firstSlots[groupOf(slot)];
  }

  /**
   * Returns the prompt of a slot.
   *
   * @param slot the slot
   */
  public String promptOf(int slot) {
    return groups.get(groupOf(slot)).prompt();
  }

  /**
   * Returns the sampling seed of a slot, the same for each attempt.
   *
   * @param slot the slot
   * @return a seed in 0 to 2^53 - 1, which any JSON reader keeps exact
   */
  public long seedOf(int slot) {
    long mixed = groups.get(groupOf(slot)).seed() + (indexOf(slot) + 1) * GOLDEN_GAMMA;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return (mixed ^ (mixed >>> 31)) >>> 11;
  }

  /**
   * Returns whether another spec asks for the same samples.
   *
   * @param other the other spec
   */
  public boolean sameWork(StepSpec other) {
    return id.equals(other.id) && maxTokens == other.maxTokens && groups.equals(other.groups);
  }

  /**
   * Returns a digest of what the step asks for, so that samples of a step that is opened again with
   * other work are told apart.
   *
   * @return 32 hexadecimal digits, the same for specs of the {@link #sameWork same work}
   */
  public String workDigest() {
    StringBuilder work = new StringBuilder(id.key()).append('/').append(maxTokens);
    for (GroupSpec group : groups) {
      work.append('\n').append(group.samples()).append(' ').append(group.seed());
      work.append(' ').append(group.prompt().length()).append(' ').append(group.prompt());
    }
    byte[] bytes = work.toString().getBytes(StandardCharsets.UTF_8);
    long[] hash = MurmurHash3.hash128x64(bytes);
    return "%016x%016x".formatted(hash[0], hash[1]);
  }
}
