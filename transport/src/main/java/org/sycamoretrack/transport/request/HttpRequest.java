package org.sycamoretrack.transport.request;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/** A request that {@link org.sycamoretrack.transport.connection.HttpClient} sends. Immutable. */
public final class HttpRequest {
  private static final byte[] NO_BODY = {};
  private static final int DEFAULT_TIMEOUT_MS = 10_000;

  private final InetSocketAddress address;
  private final String method;
  private final String target;
  private final Map<String, String> headers;
  private final byte[] body;
  private final int timeoutMs;
  private final int idleTimeoutMs;
  private final boolean freshConnection;
  private final boolean mayEndWithConnection;
  private final String echoedHeader;

  private HttpRequest(Builder builder) {
    this.address = Objects.requireNonNull(builder.address, "address");
    this.method = builder.method;
    this.target = builder.target;
    this.headers = Map.copyOf(builder.headers);
    this.body = builder.body;
    this.timeoutMs = builder.timeoutMs;
    this.idleTimeoutMs = builder.idleTimeoutMs;
    this.freshConnection = builder.freshConnection;
    this.mayEndWithConnection = builder.mayEndWithConnection;
    this.echoedHeader = builder.echoedHeader;
  }

  /**
   * Starts a request.
   *
   * @param method the method, for example {@code GET}
   * @param address where it is sent
   * @param target path and query, percent-encoded
   * @return a builder
   */
  public static Builder builder(String method, InetSocketAddress address, String target) {
    return new Builder(method, address, target);
  }

  /** Returns where the request is sent. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns the method. */
  public String method() {
    return method;
  }

  /** Returns path and query, percent-encoded. */
  public String target() {
    return target;
  }

  /** Returns the headers besides those that the client sets itself. */
  public Map<String, String> headers() {
    return headers;
  }

  /** Returns the body, which must not be changed. */
  public byte[] body() {
    return body;
  }

  /** Returns the time in milliseconds within which the answer must have ended. */
  public int timeoutMs() {
    return timeoutMs;
  }

  /** Returns the longest time in milliseconds without a byte of the answer; 0 for no limit. */
  public int idleTimeoutMs() {
    return idleTimeoutMs;
  }

  /**
   * Returns whether a connection of its own is opened, so that the request can't meet one that the
   * far end is just closing.
   */
  public boolean freshConnection() {
    return freshConnection;
  }

  /** Returns whether an answer without a length ends well when its connection is closed. */
  public boolean mayEndWithConnection() {
    return mayEndWithConnection;
  }

  /**
   * Returns the header of the request that its answer repeats, null when there is none. An answer
   * that has another value there belongs to an earlier request and is skipped.
   */
  public String echoedHeader() {
    return echoedHeader;
  }

  /** Builds a {@link HttpRequest}. */
  public static final class Builder {
    private final String method;
    private final InetSocketAddress address;
    private final String target;
    private final Map<String, String> headers = new LinkedHashMap<>();
    private byte[] body = NO_BODY;
    private int timeoutMs = DEFAULT_TIMEOUT_MS;
    private int idleTimeoutMs;
    private boolean freshConnection;
    private boolean mayEndWithConnection;
    private String echoedHeader;

    private Builder(String method, InetSocketAddress address, String target) {
      this.method = method;
      this.address = address;
      this.target = target;
    }

    /**
     * Adds a header, replacing one of the same name.
     *
     * @param name the name
     * @param value the value
     * @return this builder
     */
    public Builder header(String name, String value) {
      headers.put(name, value);
      return this;
    }

    /**
     * Sets the body.
     *
     * @param body the bytes, which must not be changed afterwards
     * @return this builder
     */
    public Builder body(byte[] body) {
      this.body = body;
      return this;
    }

    /**
     * Sets the body to JSON.
     *
     * @param value what {@link org.sycamoretrack.transport.process.Json#bytes} can write
     * @return this builder
     */
    public Builder json(Object value) {
      header("content-type", "application/json");
      return body(org.sycamoretrack.transport.process.Json.bytes(value));
    }

    /**
     * Sets the time within which the answer must have ended.
     *
     * @param timeoutMs milliseconds, over 0
     * @return this builder
     */
    public Builder timeoutMs(int timeoutMs) {
      this.timeoutMs = timeoutMs;
      return this;
    }

    /**
     * Sets the longest time without a byte of the answer.
     *
     * @param idleTimeoutMs milliseconds, 0 for no limit
     * @return this builder
     */
    public Builder idleTimeoutMs(int idleTimeoutMs) {
      this.idleTimeoutMs = idleTimeoutMs;
      return this;
    }

    /**
     * Asks for a connection that was not used before.
     *
     * @return this builder
     */
    public Builder freshConnection() {
      this.freshConnection = true;
      return this;
    }

    /**
     * Accepts an answer without a length, which ends where its connection is closed in order. One
     * whose connection is reset has not ended.
     *
     * @return this builder
     */
    public Builder mayEndWithConnection() {
      this.mayEndWithConnection = true;
      return this;
    }

    /**
     * Names a header of the request that its answer repeats, so that a late answer to an earlier
     * request is told from its own.
     *
     * @param name the name, of a header that the request has
     * @return this builder
     */
    public Builder echoedHeader(String name) {
      this.echoedHeader = name;
      return this;
    }

    /** Returns the request. */
    public HttpRequest build() {
      return new HttpRequest(this);
    }
  }
}
