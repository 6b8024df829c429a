package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.transport.connection.HttpClient;

/** Reads the host list over HTTP as JSON. */
public final class HttpHostList implements HostList {
  private final ExternalServiceCalls calls;
  private final InetSocketAddress address;

  /**
   * Creates a client.
   *
   * @param client sends the calls
   * @param address the address of the host list service
   * @param timeoutMs the timeout for each call, in milliseconds
   */
  public HttpHostList(HttpClient client, InetSocketAddress address, int timeoutMs) {
    this.calls =
        new ExternalServiceCalls(client, "host list", ErrorCode.PLATFORM_UNAVAILABLE, timeoutMs);
    this.address = address;
  }

  @Override
  public CompletionStage<Snapshot> hosts() {
    return calls.call(
        calls.request("GET", address, "/hosts").build(),
        response -> {
          calls.requireOk(response);
          return readSnapshot(response.json());
        });
  }

  private static Snapshot readSnapshot(JsonNode body) {
    List<Host> hosts = new ArrayList<>();
    for (JsonNode node : JsonFields.requireArray(body, "hosts")) {
      hosts.add(readHost(node));
    }
    return new Snapshot(JsonFields.requireLong(body, "asOfMs"), hosts);
  }

  private static Host readHost(JsonNode node) {
    return new Host(
        JsonFields.requireText(node, "hostId"),
        Role.valueOf(JsonFields.requireText(node, "role").toUpperCase(Locale.ROOT)),
        JsonFields.requireText(node, "address"),
        JsonFields.requireInt(node, "port"),
        JsonFields.requireText(node, "zone"),
        node.hasNonNull("pool") ? JsonFields.requireText(node, "pool") : null,
        State.valueOf(JsonFields.requireText(node, "state").toUpperCase(Locale.ROOT)));
  }
}
