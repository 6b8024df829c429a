package org.sycamoretrack.core.request;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The samples that a trainer requests in one step. Immutable.
 *
 * <p>Each sample has a slot. Slots are numbered from 0 in the order of the groups. Example: groups
 * of 2 and 3 samples have the slots 0, 1 and 2, 3, 4; slot 3 has index 1 in group 1.
 */
public final class StepSpec {
  /** The largest number of slots in a step. */
  public static final int MAX_SLOTS = 8_192;

  /** The largest value of {@code maxTokens}. */
  public static final int MAX_TOKENS = 65_536;

  /** The golden ratio increment of SplitMix64. */
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
   * @param id the track and number of the step
   * @param trainsVersion the weight version that the trainer is training
   * @param maxTokens the largest number of tokens of a sample
   * @param groups the groups, with 1 to {@link #MAX_SLOTS} samples in total
   * @throws IllegalArgumentException if a limit is violated
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
        throw new IllegalArgumentException("a step must have at most " + MAX_SLOTS + " samples");
      }
    }
    if (count < 1) {
      throw new IllegalArgumentException("a step must have at least 1 sample");
    }
    this.slots = (int) count;
  }

  /** Returns the track and number of the step. */
  public StepId id() {
    return id;
  }

  /** Returns the weight version that the trainer was training when it opened the step. */
  public long trainsVersion() {
    return trainsVersion;
  }

  /** Returns the largest number of tokens of a sample. */
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
   * @return the index of the group
   */
  public int groupOf(int slot) {
    int index = java.util.Arrays.binarySearch(firstSlots, slot);
    return index >= 0 ? index : -index - 2;
  }

  /**
   * Returns the index of a slot within its group.
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
   * @return a seed from 0 to 2^53 - 1, the range of integers that every JSON reader represents
   *     exactly
   */
  public long seedOf(int slot) {
    long mixed = groups.get(groupOf(slot)).seed() + (indexOf(slot) + 1) * GOLDEN_GAMMA;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return (mixed ^ (mixed >>> 31)) >>> 11;
  }

  /**
   * Returns whether another spec requests the same samples.
   *
   * @param other the other spec
   */
  public boolean requestsSameSamples(StepSpec other) {
    return id.equals(other.id) && maxTokens == other.maxTokens && groups.equals(other.groups);
  }

  /**
   * Returns a digest of the requested samples. It distinguishes the samples of a step from those of
   * a step with the same id that is opened again with different content.
   *
   * @return 32 hexadecimal digits, equal for specs that {@linkplain #requestsSameSamples request
   *     the same samples}
   */
  public String contentDigest() {
    StringBuilder content = new StringBuilder(id.key()).append('/').append(maxTokens);
    for (GroupSpec group : groups) {
      content.append('\n').append(group.samples()).append(' ').append(group.seed());
      content.append(' ').append(group.prompt().length()).append(' ').append(group.prompt());
    }
    byte[] bytes = content.toString().getBytes(StandardCharsets.UTF_8);
    long[] hash = MurmurHash3.hash128x64(bytes);
    return "%016x%016x".formatted(hash[0], hash[1]);
  }
}
