package org.sycamoretrack.core.version.routing;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A customer of the deployment. Endpoints receive its name, so it must be usable as the value of a
 * header.
 *
 * @param name the name, not empty and without control characters
 * @param priority the priority of its requests, 0 for the highest; empty if their routes decide
 */
public record Customer(String name, OptionalInt priority) {
  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is blank or contains a control character
   */
  public Customer {
    Objects.requireNonNull(priority, "priority");
    if (name.isBlank() || name.chars().anyMatch(Character::isISOControl)) {
      throw new IllegalArgumentException("the name of a customer is blank or has a control code");
    }
  }

  /**
   * Returns the priority of a request of this customer.
   *
   * @param route the route of the request
   */
  public int priorityOn(Route route) {
    return priority.orElse(route.priority());
  }
}
