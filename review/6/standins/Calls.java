import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Sends HTTP requests, each on a new connection to a loopback port. */
final class Calls {
  private Calls() {}

  /** A response; the names of its headers are in lower case. */
  record Answer(int status, Map<String, String> headers, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static Answer call(
      int port,
      String method,
      String target,
      Map<String, String> headers,
      byte[] body,
      int timeoutMs)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMs);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMs);
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      if (!headers.containsKey("Host")) {
        head.append("Host: 127.0.0.1\r\n");
      }
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Length: " + body.length + "\r\n\r\n");
      socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().write(body);
      socket.getOutputStream().flush();
      return read(socket.getInputStream());
    }
  }

  private static Answer read(InputStream in) throws IOException {
    String statusLine = line(in);
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    Map<String, String> headers = new HashMap<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the body ends early");
    }
    return new Answer(status, headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("the connection ended without a complete answer");
      }
      if (c != '\r') {
        line.write(c);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }
}
