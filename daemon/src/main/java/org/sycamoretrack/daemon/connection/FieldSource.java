package org.sycamoretrack.daemon.connection;

/** Something that can be written as a map of named fields. */
@FunctionalInterface
public interface FieldSource {
  /**
   * Writes the fields.
   *
   * @param out where the fields go
   */
  void writeFields(FieldWriter out);
}
