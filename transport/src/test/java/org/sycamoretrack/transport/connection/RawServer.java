package org.sycamoretrack.transport.connection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server on plain sockets that reads one request of a connection, without body, and responds. */
final class RawServer implements AutoCloseable {
  private static final int BACKLOG = 64;

  private final ServerSocket server;
  private final Responder responder;

  /** Sends the response on a connection, which is closed afterwards. */
  @FunctionalInterface
  interface Responder {
    /** Responds to a request. */
    void respond(Socket socket) throws IOException;
  }

  RawServer(Responder responder) {
    this.responder = responder;
    try {
      server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Thread.ofVirtual().start(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has ended and closed the socket.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      byte[] request = new byte[1_000];
      if (socket.getInputStream().read(request) > 0) {
        responder.respond(socket);
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
