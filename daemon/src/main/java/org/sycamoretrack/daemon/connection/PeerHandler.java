package org.sycamoretrack.daemon.connection;

/**
 * Receives messages of one type.
 *
 * @param <T> the type of message
 */
@FunctionalInterface
public interface PeerHandler<T extends PeerMessage> {
  /**
   * Handles a message. Called on the event loop of the connection and must not block. Messages from
   * one peer arrive in the order in which it sent them.
   *
   * @param fromNodeId the sender
   * @param message the message
   */
  void onMessage(String fromNodeId, T message);
}
