package org.sycamoretrack.core.request;

import java.util.BitSet;

/**
 * The set of a step's slots that its trainer has received. Immutable.
 *
 * <p>Wire form: bit {@code slot % 8}, least significant first, of byte {@code slot / 8}; bytes that
 * are missing at the end are zero. 8,192 slots take 1,024 bytes.
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
   * Reads the wire form.
   *
   * @param bytes the wire form
   * @param slots the number of slots of the step
   * @throws IllegalArgumentException when a slot beyond the step's is set
   */
  public static SlotBitmap ofBytes(byte[] bytes, int slots) {
    BitSet bits = BitSet.valueOf(bytes);
    if (bits.length() > slots) {
      throw new IllegalArgumentException(
          "slot " + (bits.length() - 1) + " is set, but the step has " + slots + " slots");
    }
    return new SlotBitmap(bits);
  }

  /** Returns the wire form, without zero bytes at the end. */
  public byte[] toBytes() {
    return bits.toByteArray();
  }

  /**
   * Returns whether a slot is in the set.
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
   * Returns this set with a slot added.
   *
   * @param slot the slot
   */
  public SlotBitmap with(int slot) {
    BitSet copy = (BitSet) bits.clone();
    copy.set(slot);
    return new SlotBitmap(copy);
  }

  /**
   * Returns the slots that are in this set or in another.
   *
   * @param other the other set
   */
  public SlotBitmap union(SlotBitmap other) {
    BitSet copy = (BitSet) bits.clone();
    copy.or(other.bits);
    return new SlotBitmap(copy);
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
