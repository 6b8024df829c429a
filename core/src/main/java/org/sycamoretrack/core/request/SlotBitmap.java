package org.sycamoretrack.core.request;

import java.util.BitSet;

/**
 * The set of slots of a step whose samples the trainer has received. Immutable.
 *
 * <p>Encoding: slot {@code s} is bit {@code s % 8}, counted from the least significant, of byte
 * {@code s / 8}. Missing trailing bytes are zero. 8,192 slots take 1,024 bytes.
 */
public final class SlotBitmap {
  private static final SlotBitmap EMPTY = new SlotBitmap(new BitSet());

  private final BitSet bits;

  private SlotBitmap(BitSet bits) {
    this.bits = bits;
  }

  /** Returns the empty set. */
  public static SlotBitmap empty() {
    return EMPTY;
  }

  /**
   * Decodes a set.
   *
   * @param bytes the encoded set
   * @param slots the number of slots of the step
   * @throws IllegalArgumentException if the set contains a slot that the step does not have
   */
  public static SlotBitmap ofBytes(byte[] bytes, int slots) {
    BitSet bits = BitSet.valueOf(bytes);
    if (bits.length() > slots) {
      throw new IllegalArgumentException(
          "slot " + (bits.length() - 1) + " is set, but the step has " + slots + " slots");
    }
    return new SlotBitmap(bits);
  }

  /** Returns the encoded set, without trailing zero bytes. */
  public byte[] toBytes() {
    return bits.toByteArray();
  }

  /**
   * Returns whether the set contains a slot.
   *
   * @param slot the slot
   */
  public boolean contains(int slot) {
    return bits.get(slot);
  }

  /** Returns the number of slots in the set. */
  public int size() {
    return bits.cardinality();
  }

  /**
   * Returns a copy of this set with a slot added.
   *
   * @param slot the slot
   */
  public SlotBitmap with(int slot) {
    BitSet result = (BitSet) bits.clone();
    result.set(slot);
    return new SlotBitmap(result);
  }

  /**
   * Returns the union of this set and another.
   *
   * @param other the other set
   */
  public SlotBitmap union(SlotBitmap other) {
    BitSet result = (BitSet) bits.clone();
    result.or(other.bits);
    return new SlotBitmap(result);
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof SlotBitmap other && bits.equals(other.bits);
  }

  @Override
  public int hashCode() {
    return bits.hashCode();
  }

  @Override
  public String toString() {
    return "SlotBitmap" + bits;
  }
}
