package org.sycamoretrack.cli.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;

/**
 * The connection settings of the command line: the addresses of the nodes of a deployment and the
 * operator's token.
 *
 * @param nodes the operator address of each node by node id, in the order of the file
 * @param token the bearer token, or null for none
 */
public record CliContext(Map<String, InetSocketAddress> nodes, String token) {
  private static final String HINT =
      "write {\"nodes\": {\"svea-a-1\": \"127.0.0.1:9101\"}, \"tokenFile\": null}";

  /**
   * Reads a context file.
   *
   * @param file a JSON file
   * @throws CliException if the file can't be read or is invalid
   */
  public static CliContext read(Path file) {
    try {
      JsonNode json = Json.parse(Files.readAllBytes(file));
      Map<String, InetSocketAddress> nodes = new LinkedHashMap<>();
      json.path("nodes")
          .properties()
          .forEach(entry -> nodes.put(entry.getKey(), address(entry.getValue().asText())));
      if (nodes.isEmpty()) {
        throw CliException.usage("context " + file + " lists no nodes", HINT);
      }
      return new CliContext(nodes, token(json.path("tokenFile").textValue(), file));
    } catch (IOException e) {
      throw CliException.usage(
          "can't read context: " + e, "specify a context file with --context FILE");
    } catch (IllegalArgumentException e) {
      throw CliException.usage("context " + file + ": " + e.getMessage(), HINT);
    }
  }

  /** Reads the token. A relative path is resolved against the directory of the context file. */
  private static String token(String tokenFile, Path context) throws IOException {
    return tokenFile == null
        ? null
        : Files.readString(context.toAbsolutePath().resolveSibling(tokenFile)).strip();
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+")) {
      throw new IllegalArgumentException("'" + text + "' is not an IPv4 address with a port");
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
