package org.sycamoretrack.core.process.ownership;

/**
 * What a copy of a table says about a row that this process has written.
 *
 * <p>The copy may lag behind the store and may skip changes: a row that was written and removed
 * between two reads of the table appears in neither. Whether the absence of the row is significant
 * therefore follows from versions and not from whether the copy ever had the row. All writes take
 * their versions from one counter, so a copy that is complete up to a version contains every row
 * that was written up to it and still exists.
 *
 * <p>Example: the row is written at version 7. A copy that is complete up to version 6 lacks it as
 * it is too old. A copy that is complete up to version 9 lacks it because the row was removed.
 */
public enum WrittenRowState {
  /** The copy is older than the write. */
  NOT_READ,
  /** The copy contains the row as it was written. */
  CURRENT,
  /** The row was written again. */
  REPLACED,
  /** The row was removed. */
  REMOVED;

  /**
   * Returns the state of a row.
   *
   * @param writtenVersion the version at which this process wrote the row
   * @param copiedVersion the version of the row in the copy, 0 if the copy lacks the row
   * @param completeVersion the version up to which the copy is complete
   */
  public static WrittenRowState of(long writtenVersion, long copiedVersion, long completeVersion) {
    if (copiedVersion > writtenVersion) {
      return REPLACED;
    }
    if (copiedVersion == writtenVersion) {
      return CURRENT;
    }
    return completeVersion >= writtenVersion ? REMOVED : NOT_READ;
  }
}
