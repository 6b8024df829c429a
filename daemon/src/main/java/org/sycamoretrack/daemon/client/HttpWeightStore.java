package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.transport.connection.HttpClient;

/** Calls the weight store over HTTP with JSON. */
public final class HttpWeightStore implements WeightStore {
  private final ExternalServiceCalls calls;
  private final InetSocketAddress address;

  /**
   * Creates a client.
   *
   * @param client sends the calls
   * @param address the address of the weight store
   * @param timeoutMs the timeout for each call, in milliseconds
   */
  public HttpWeightStore(HttpClient client, InetSocketAddress address, int timeoutMs) {
    this.calls =
        new ExternalServiceCalls(client, "weight store", ErrorCode.PLATFORM_UNAVAILABLE, timeoutMs);
    this.address = address;
  }

  @Override
  public CompletionStage<Versions> versions(String model) {
    String target = "/models/" + ExternalServiceCalls.encode(model) + "/versions";
    return calls.call(
        calls.request("GET", address, target).build(),
        response -> {
          calls.requireOk(response);
          return readVersions(response.json());
        });
  }

  private static Versions readVersions(JsonNode body) {
    List<Long> versions = new ArrayList<>();
    for (JsonNode version : JsonFields.requireArray(body, "versions")) {
      if (!version.isIntegralNumber()) {
        throw new IllegalArgumentException("an element of field versions is not an integer");
      }
      versions.add(version.longValue());
    }
    versions.sort(null);
    long latest = body.hasNonNull("latest") ? JsonFields.requireLong(body, "latest") : 0;
    return new Versions(latest, versions);
  }
}
