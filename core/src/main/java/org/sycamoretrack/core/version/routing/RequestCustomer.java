package org.sycamoretrack.core.version.routing;

import java.util.OptionalInt;

/** The customer on whose behalf a request is made, as far as there is one. Immutable. */
public sealed interface RequestCustomer {
  /** The manifest defines no customers; headers that would name one have no meaning. */
  record Undefined() implements RequestCustomer {}

  /** The manifest defines customers, and the request belongs to none of them. */
  record Anonymous() implements RequestCustomer {}

  /**
   * The request belongs to a customer.
   *
   * @param customer the customer
   */
  record Known(Customer customer) implements RequestCustomer {}

  /**
   * Returns the customer of requests that a node makes for a stored batch. The name that was stored
   * holds even if the manifest has dropped that customer since.
   *
   * @param storedName the customer's name as stored with the batch, empty if there is none
   * @param customersDefined whether the current manifest defines customers
   */
  static RequestCustomer ofBatch(String storedName, boolean customersDefined) {
    if (!storedName.isEmpty()) {
      return new Known(new Customer(storedName, OptionalInt.empty()));
    }
    return customersDefined ? new Anonymous() : new Undefined();
  }

  /** Returns the name of the customer, empty if there is none. */
  default String name() {
    return switch (this) {
      case Known known -> known.customer().name();
      case Anonymous anonymous -> "";
      case Undefined undefined -> "";
    };
  }

  /**
   * Returns the priority of a request.
   *
   * @param route the route of the request
   * @return the customer's priority if it has one, otherwise that of the route
   */
  default int priorityOn(Route route) {
    return switch (this) {
      case Known known -> known.customer().priorityOn(route);
      case Anonymous anonymous -> route.priority();
      case Undefined undefined -> route.priority();
    };
  }

  /**
   * Returns whether a request may read or change a batch, or submit it again.
   *
   * @param storedName the name of the batch's customer, empty for a batch that is open to all
   */
  default boolean mayAccess(String storedName) {
    return switch (this) {
      case Undefined undefined -> true;
      case Anonymous anonymous -> storedName.isEmpty();
      case Known known -> storedName.isEmpty() || storedName.equals(known.customer().name());
    };
  }
}
