package org.sycamoretrack.core.version.routing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The API keys of the customers of one manifest version. Immutable.
 *
 * <p>Only the SHA-256 digests of keys are kept, and a key is looked up by its digest. The keys can
 * therefore not be read from the memory, logs or dumps of a node, and the time of a comparison
 * depends on digests only, from which a caller learns nothing about a key. A lookup takes one
 * digest and one access to a hash map; at the planned size a node makes some tens of them a second.
 */
public final class CustomerKeys {
  private final Map<ByteBuffer, Customer> customersByDigest;

  private CustomerKeys(Builder builder) {
    this.customersByDigest = Map.copyOf(builder.customersByDigest);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the customer that a key belongs to.
   *
   * @param key the key as the caller sent it
   */
  public Optional<Customer> find(String key) {
    return Optional.ofNullable(customersByDigest.get(digest(key)));
  }

  /** Returns the number of keys. */
  public int size() {
    return customersByDigest.size();
  }

  /** Returns the number of keys only, so that nothing of them gets into a log. */
  @Override
  public String toString() {
    return size() + " keys";
  }

  private static ByteBuffer digest(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return ByteBuffer.wrap(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }

  /** Builds {@link CustomerKeys}. */
  public static final class Builder {
    private final Map<ByteBuffer, Customer> customersByDigest = new HashMap<>();

    private Builder() {}

    /**
     * Adds a key of a customer. A key that another customer has already stays with that one, so
     * that all nodes decide alike.
     *
     * @param customer the customer
     * @param key the key, of which only the digest is kept
     * @throws IllegalArgumentException if the key is empty
     */
    public Builder add(Customer customer, String key) {
      if (key.isEmpty()) {
        throw new IllegalArgumentException("a key of customer " + customer.name() + " is empty");
      }
      customersByDigest.putIfAbsent(digest(key), customer);
      return this;
    }

    /** Returns the keys. */
    public CustomerKeys build() {
      return new CustomerKeys(this);
    }
  }
}
