package org.sycamoretrack.transport.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/** A request for {@link org.sycamoretrack.transport.connection.HttpClient}. Immutable. */
public final class HttpRequest {
  private static final byte[] NO_BODY = {};
  private static final int DEFAULT_TIMEOUT_MS = 10_000;
  private static final int DEFAULT_MAX_RESPONSE_BYTES = 16 << 20;

  private final InetSocketAddress address;
  private final String method;
  private final String target;
  private final Map<String, String> headers;
  private final byte[] body;
  private final int timeoutMs;
  private final int idleTimeoutMs;
  private final int maxResponseBytes;
  private final boolean freshConnection;
  private final boolean allowsCloseDelimitedBody;
  private final String echoedHeader;
  private final ResponseHeadListener headListener;

  private HttpRequest(Builder builder) {
    this.address = Objects.requireNonNull(builder.address, "address");
    this.method = builder.method;
    this.target = builder.target;
    this.headers = Map.copyOf(builder.headers);
    this.body = builder.body;
    this.timeoutMs = builder.timeoutMs;
    this.idleTimeoutMs = builder.idleTimeoutMs;
    this.maxResponseBytes = builder.maxResponseBytes;
    this.freshConnection = builder.freshConnection;
    this.allowsCloseDelimitedBody = builder.allowCloseDelimitedBody;
    this.echoedHeader = builder.echoedHeader;
    this.headListener = builder.headListener;
  }

  /**
   * Returns a builder of a request.
   *
   * @param method the method, for example {@code GET}
   * @param address the address of the server
   * @param target the path and query, percent-encoded
   * @return a builder
   */
  public static Builder builder(String method, InetSocketAddress address, String target) {
    return new Builder(method, address, target);
  }

  /** Returns the address of the server. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns the method. */
  public String method() {
    return method;
  }

  /** Returns the path and query, percent-encoded. */
  public String target() {
    return target;
  }

  /** Returns the headers, without those that the client adds. */
  public Map<String, String> headers() {
    return headers;
  }

  /** Returns the body, which must not be modified. */
  public byte[] body() {
    return body;
  }

  /** Returns the timeout for the complete response, in milliseconds. */
  public int timeoutMs() {
    return timeoutMs;
  }

  /** Returns the longest time without receiving a byte, in milliseconds; 0 for no limit. */
  public int idleTimeoutMs() {
    return idleTimeoutMs;
  }

  /**
   * Returns the maximum size of a response body that is collected in memory, and of the bodies that
   * are skipped before it, in bytes.
   */
  public int maxResponseBytes() {
    return maxResponseBytes;
  }

  /**
   * Returns whether the request is sent on a new connection, which avoids reusing an idle
   * connection that the server is just closing.
   */
  public boolean freshConnection() {
    return freshConnection;
  }

  /** Returns whether a response without a length is complete when its connection is closed. */
  public boolean allowsCloseDelimitedBody() {
    return allowsCloseDelimitedBody;
  }

  /**
   * Returns the name of a request header that the server echoes in the response, or null if there
   * is none. A response with a different value belongs to an earlier request and is skipped; if
   * this request doesn't have the header, so is each response that has it.
   */
  public String echoedHeader() {
    return echoedHeader;
  }

  /** Returns the listener of the response's head. */
  public ResponseHeadListener headListener() {
    return headListener;
  }

  /** Receives the head of the response, however much of the response arrives later. */
  @FunctionalInterface
  public interface ResponseHeadListener {
    /**
     * Called on the event loop of the call, before the listener of the response.
     *
     * @param status the status
     * @param headers the headers
     * @return whether the connection may carry another request after this response
     */
    boolean onHead(int status, HttpHeaders headers);
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
    private int maxResponseBytes = DEFAULT_MAX_RESPONSE_BYTES;
    private boolean freshConnection;
    private boolean allowCloseDelimitedBody;
    private String echoedHeader;
    private ResponseHeadListener headListener = (status, headers) -> true;

    private Builder(String method, InetSocketAddress address, String target) {
      this.method = method;
      this.address = address;
      this.target = target;
    }

    /**
     * Sets a header, replacing a previous value.
     *
     * @param name the name
     * @param value the value
     * @return this builder
     */
    public Builder header(String name, String value) {
      headers.put(name.toLowerCase(Locale.ROOT), value);
      return this;
    }

    /**
     * Sets the body.
     *
     * @param body the bytes, which must not be modified afterwards
     * @return this builder
     */
    public Builder body(byte[] body) {
      this.body = body;
      return this;
    }

    /**
     * Sets the body to a value serialized as JSON, and the content type accordingly.
     *
     * @param value the value to serialize with {@link
     *     org.sycamoretrack.transport.process.Json#toBytes}
     * @return this builder
     */
    public Builder json(Object value) {
      header("content-type", "application/json");
      return body(org.sycamoretrack.transport.process.Json.toBytes(value));
    }

    /**
     * Sets the timeout for the complete response.
     *
     * @param timeoutMs the timeout in milliseconds, greater than 0
     * @return this builder
     */
    public Builder timeoutMs(int timeoutMs) {
      this.timeoutMs = timeoutMs;
      return this;
    }

    /**
     * Sets the longest time without receiving a byte of the response.
     *
     * @param idleTimeoutMs the limit in milliseconds; 0 for no limit
     * @return this builder
     */
    public Builder idleTimeoutMs(int idleTimeoutMs) {
      this.idleTimeoutMs = idleTimeoutMs;
      return this;
    }

    /**
     * Sets the maximum size of a response body that is collected in memory.
     *
     * @param maxResponseBytes the limit in bytes
     * @return this builder
     */
    public Builder maxResponseBytes(int maxResponseBytes) {
      this.maxResponseBytes = maxResponseBytes;
      return this;
    }

    /**
     * Sends the request on a new connection instead of an idle one.
     *
     * @return this builder
     */
    public Builder freshConnection() {
      this.freshConnection = true;
      return this;
    }

    /**
     * Accepts a response without a length, which is complete when the server closes the connection.
     * If the connection is reset, the response is incomplete.
     *
     * @return this builder
     */
    public Builder allowCloseDelimitedBody() {
      this.allowCloseDelimitedBody = true;
      return this;
    }

    /**
     * Sets the name of a request header that the server echoes in the response, so that a late
     * response to an earlier request can be recognized.
     *
     * @param name the name of the header, which this request may lack
     * @return this builder
     */
    public Builder echoedHeader(String name) {
      this.echoedHeader = name;
      return this;
    }

    /**
     * Sets the listener of the response's head.
     *
     * @param listener the listener
     * @return this builder
     */
    public Builder headListener(ResponseHeadListener listener) {
      this.headListener = listener;
      return this;
    }

    /** Builds the request. */
    public HttpRequest build() {
      return new HttpRequest(this);
    }
  }
}
