import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets, so that stand-ins control each byte. */
final class Http {
  private Http() {}

  /** A message: a request or a response, with lower-case header names. */
  record Message(String first, Map<String, String> headers, byte[] body) {
    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    String path() {
      String target = target();
      return target.indexOf('?') < 0 ? target : target.substring(0, target.indexOf('?'));
    }

    String query(String name) {
      String target = target();
      int start = target.indexOf('?');
      if (start >= 0) {
        for (String pair : target.substring(start + 1).split("&")) {
          if (pair.startsWith(name + "=")) {
            return java.net.URLDecoder.decode(
                pair.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return null;
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Handles a request; returns whether the connection stays open. */
  interface Handler {
    boolean handle(Message request, Connection connection) throws Exception;
  }

  /** An open connection, of a client or a server. */
  static final class Connection implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
      out = new BufferedOutputStream(socket.getOutputStream());
    }

    static Connection open(InetSocketAddress address, int timeoutMs) throws IOException {
      Socket socket = new Socket();
      socket.connect(address, timeoutMs);
      return new Connection(socket);
    }

    /** Reads a message; returns null when the connection ends before its first byte. */
    Message read() throws IOException {
      String first = line(true);
      if (first == null) {
        return null;
      }
      Map<String, String> headers = new LinkedHashMap<>();
      for (String line = line(false); !line.isEmpty(); line = line(false)) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      if ("chunked".equals(headers.get("transfer-encoding"))) {
        int size = Integer.parseInt(line(false).strip(), 16);
        while (size > 0) {
          body.write(exactly(size));
          line(false);
          size = Integer.parseInt(line(false).strip(), 16);
        }
        line(false);
      } else if (headers.containsKey("content-length")) {
        body.write(exactly(Integer.parseInt(headers.get("content-length"))));
      }
      return new Message(first, headers, body.toByteArray());
    }

    private byte[] exactly(int size) throws IOException {
      byte[] bytes = in.readNBytes(size);
      if (bytes.length < size) {
        throw new EOFException("the connection ended in a body");
      }
      return bytes;
    }

    private String line(boolean mayEnd) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      int b = in.read();
      if (b < 0 && mayEnd) {
        return null;
      }
      while (b != '\n') {
        if (b < 0) {
          throw new EOFException("the connection ended in a head");
        }
        if (b != '\r') {
          line.write(b);
        }
        b = in.read();
      }
      return line.toString(StandardCharsets.UTF_8);
    }

    void write(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    void respond(int status, Map<String, ?> headers, byte[] body) throws IOException {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Length: " + body.length + "\r\n\r\n");
      out.write(head.toString().getBytes(StandardCharsets.UTF_8));
      out.write(body);
      out.flush();
    }

    void respondJson(int status, Object json) throws IOException {
      byte[] body = Json.write(json).getBytes(StandardCharsets.UTF_8);
      respond(status, Map.of("Content-Type", "application/json"), body);
    }

    void request(String method, String target, Map<String, ?> headers, byte[] body)
        throws IOException {
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      if (body.length > 0 || !method.equals("GET")) {
        head.append("Content-Length: " + body.length + "\r\n");
      }
      head.append("\r\n");
      out.write(head.toString().getBytes(StandardCharsets.UTF_8));
      out.write(body);
      out.flush();
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // The socket is of no further use.
      }
    }
  }

  /** Sends one request on a new connection. */
  static Message call(
      InetSocketAddress address,
      String method,
      String target,
      Map<String, ?> headers,
      byte[] body,
      int timeoutMs)
      throws IOException {
    try (Connection connection = Connection.open(address, Math.min(1_000, timeoutMs))) {
      connection.socket.setSoTimeout(timeoutMs);
      connection.request(method, target, headers, body);
      Message response = connection.read();
      if (response == null) {
        throw new EOFException("closed without an answer");
      }
      return response;
    }
  }

  /** A server: its address, and its open connections. */
  static final class Server implements AutoCloseable {
    private final ServerSocket socket;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    private Server(ServerSocket socket) {
      this.socket = socket;
    }

    InetSocketAddress address() {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    private void accept(Handler handler) {
      while (true) {
        try {
          Socket connection = socket.accept();
          connections.add(connection);
          Thread.ofVirtual()
              .start(
                  () -> {
                    serve(connection, handler);
                    connections.remove(connection);
                  });
        } catch (IOException e) {
          return;
        }
      }
    }

    /** Ends the server as a crash does: all connections are reset. */
    @Override
    public void close() {
      try {
        socket.close();
        for (Socket connection : connections) {
          connection.setSoLinger(true, 0);
          connection.close();
        }
      } catch (IOException e) {
        // The sockets are of no further use.
      }
    }
  }

  /** Listens on a free port of the loopback address, one virtual thread for each connection. */
  static Server serve(Handler handler) throws IOException {
    Server server = new Server(new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress()));
    Thread.ofVirtual().start(() -> server.accept(handler));
    return server;
  }

  private static void serve(Socket socket, Handler handler) {
    try (Connection connection = new Connection(socket)) {
      Message request = connection.read();
      while (request != null && handler.handle(request, connection)) {
        request = connection.read();
      }
    } catch (Exception e) {
      // The peer has closed the connection.
    }
  }
}
