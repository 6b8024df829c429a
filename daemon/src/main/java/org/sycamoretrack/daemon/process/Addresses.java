package org.sycamoretrack.daemon.process;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats addresses of the form {@code 10.0.0.7:7101}, without DNS lookups. */
public final class Addresses {
  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;
  private static final int OCTETS = 4;

  private Addresses() {}

  /**
   * Parses an address.
   *
   * @param text IPv4 address and port
   * @throws IllegalArgumentException if the text has another form
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String[] parts = colon < 0 ? new String[0] : text.substring(0, colon).split("\\.", -1);
    if (parts.length != OCTETS) {
      throw invalid(text);
    }
    byte[] octets = new byte[OCTETS];
    for (int i = 0; i < OCTETS; i++) {
      octets[i] = (byte) number(parts[i], MAX_OCTET, text);
    }
    int port = number(text.substring(colon + 1), MAX_PORT, text);
    try {
      return new InetSocketAddress(InetAddress.getByAddress(octets), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static int number(String digits, int max, String text) {
    try {
      int value = Integer.parseInt(digits);
      if (value >= 0 && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw invalid(text);
    }
    throw invalid(text);
  }

  private static IllegalArgumentException invalid(String text) {
    return new IllegalArgumentException(
        "'" + text + "' is not an IPv4 address and port such as 10.0.0.7:7101");
  }

  /**
   * Formats an address.
   *
   * @param address an IPv4 address
   */
  public static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
