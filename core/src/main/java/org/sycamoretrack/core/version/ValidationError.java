package org.sycamoretrack.core.version;

/**
 * A validation error in a resource.
 *
 * @param pointer a JSON pointer to the invalid part of the resource, empty for the resource itself
 * @param message a one-line description of the error
 */
public record ValidationError(String pointer, String message) {
  /**
   * Returns this error with its pointer resolved against a parent.
   *
   * @param parent the JSON pointer to prepend
   */
  public ValidationError withParent(String parent) {
    return new ValidationError(parent + pointer, message);
  }

  @Override
  public String toString() {
    return (pointer.isEmpty() ? "/" : pointer) + ": " + message;
  }
}
