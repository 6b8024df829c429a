package org.sycamoretrack.core.version;

/**
 * One mistake in a resource.
 *
 * @param pointer where it is: a JSON pointer into the resource, empty for the whole
 * @param message what is wrong, one line for people
 */
public record Violation(String pointer, String message) {
  /**
   * Returns this mistake of a part as one of the whole.
   *
   * @param parent a JSON pointer to the part
   */
  public Violation under(String parent) {
    return new Violation(parent + pointer, message);
  }

  @Override
  public String toString() {
    return (pointer.isEmpty() ? "/" : pointer) + ": " + message;
  }
}
