package org.sycamoretrack.core.version.routing;

import java.util.Optional;

/**
 * The decision whether a request may be served, by the API key that it carries.
 *
 * <p>It answers requests with keys that were revoked or never issued, at any rate and on each
 * request of a connection, and requests with new keys that reach a node before the manifest that
 * contains them: a key that is unknown to a manifest which may be outdated is neither accepted nor
 * refused for good.
 *
 * <p>Example: a manifest defines the customer {@code a} with the key {@code k}. A request with
 * {@code k} is allowed for {@code a}. One with {@code j} is unauthorized if the manifest is current
 * and undecided otherwise. On an exempt route both are allowed, the second one without a customer.
 */
public sealed interface Authentication {
  /**
   * The request may be served.
   *
   * @param customer on whose behalf
   */
  record Allowed(RequestCustomer customer) implements Authentication {}

  /** The request carries no key of a customer. It must not be sent to any endpoint. */
  record Unauthorized() implements Authentication {}

  /** The request carries no key that this manifest contains, but a newer one may contain it. */
  record Undecided() implements Authentication {}

  /**
   * Decides on a request.
   *
   * @param manifest the manifest of the node
   * @param manifestCurrent whether the manifest is known to be recent enough to conclude that a key
   *     it doesn't contain doesn't exist
   * @param exempt whether the request needs no key
   * @param key the key that the request carries, empty if there is none
   */
  static Authentication of(
      Manifest manifest, boolean manifestCurrent, boolean exempt, Optional<String> key) {
    if (manifest.customers().isEmpty()) {
      return new Allowed(new RequestCustomer.Undefined());
    }
    Optional<Customer> customer = key.flatMap(manifest.customers().get()::find);
    if (customer.isPresent()) {
      return new Allowed(new RequestCustomer.Known(customer.get()));
    }
    if (exempt) {
      return new Allowed(new RequestCustomer.Anonymous());
    }
    return manifestCurrent ? new Unauthorized() : new Undecided();
  }
}
