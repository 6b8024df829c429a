package org.sycamoretrack.transport.request;

import java.net.InetSocketAddress;

/**
 * Response data that arrived on a connection of a client and is not the response to the current
 * request.
 *
 * @param address the address of the server
 * @param kind why the data isn't the response
 * @param target the path and query of the request whose response is due, empty if there is none
 * @param requestId the value of the request's echoed header, empty if there is none
 * @param status the status of the stray response, 0 if it has none
 * @param responseId the value of the echoed header in the stray response, empty if it has none
 */
public record StrayResponse(
    InetSocketAddress address,
    Kind kind,
    String target,
    String requestId,
    int status,
    String responseId) {

  /** Why data is not the response to the current request. */
  public enum Kind {
    /** The response echoes the header of another request. It is skipped. */
    OTHER_REQUEST,
    /** No request is in progress on the connection, which is closed. */
    NO_REQUEST,
    /** The head contains a second status line: a response that broke off, and the next one. */
    JOINED_HEAD
  }

  /** Receives stray responses, on the event loop of their connection. */
  @FunctionalInterface
  public interface Listener {
    /** Called for each stray response. */
    void onStrayResponse(StrayResponse response);
  }
}
