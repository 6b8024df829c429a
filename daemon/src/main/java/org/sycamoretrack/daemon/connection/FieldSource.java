package org.sycamoretrack.daemon.connection;

/** An object that can be encoded as a map of named fields. */
@FunctionalInterface
public interface FieldSource {
  /**
   * Writes the fields.
   *
   * @param out the writer of the fields
   */
  void writeFields(FieldWriter out);
}
