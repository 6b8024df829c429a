package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.standins.history.History;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;

/**
 * Writes and reads the addresses of a running deployment as JSON lines: one for the platform and
 * one for each node.
 *
 * <pre>
 * {"platform":"127.0.0.1:7001"}
 * {"nodeId":"svea-a-1","zone":"svea-a","caller":"127.0.0.1:8001","trainer":"127.0.0.1:8002",
 *  "operator":"127.0.0.1:8003"}
 * </pre>
 */
final class AddressLines {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private AddressLines() {}

  /** Returns the JSON lines for a running deployment. */
  static List<ObjectNode> of(DriverContext context) {
    List<ObjectNode> lines = new ArrayList<>();
    lines.add(Json.object().put("platform", format(context.platform())));
    for (NodeAddress node : context.balancer().nodes()) {
      lines.add(
          Json.object()
              .put("nodeId", node.nodeId())
              .put("zone", node.zone())
              .put("caller", format(node.caller()))
              .put("trainer", format(node.trainer()))
              .put("operator", format(node.operator())));
    }
    return lines;
  }

  /** Creates the context of a trainer or caller that runs in a separate process. */
  static DriverContext read(Deployment deployment, Path file) throws IOException {
    InetSocketAddress platform = null;
    List<NodeAddress> nodes = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      JsonNode json = Json.parse(line.getBytes(StandardCharsets.UTF_8));
      if (json.has("platform")) {
        platform = address(json, "platform");
      } else {
        nodes.add(node(json));
      }
    }
    Balancer balancer = new Balancer();
    balancer.setNodes(nodes);
    HttpClient client = new HttpClient(EventLoops.start("driver", 1), CONNECT_TIMEOUT_MS);
    return new DriverContext(client, balancer, platform, deployment, new History());
  }

  private static NodeAddress node(JsonNode json) {
    return new NodeAddress(
        json.path("nodeId").asText(),
        json.path("zone").asText(),
        address(json, "caller"),
        address(json, "trainer"),
        address(json, "operator"));
  }

  private static InetSocketAddress address(JsonNode json, String field) {
    String text = json.path(field).asText();
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException(field + " must be ADDRESS:PORT, not \"" + text + "\"");
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
