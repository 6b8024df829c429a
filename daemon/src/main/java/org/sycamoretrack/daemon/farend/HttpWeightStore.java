package org.sycamoretrack.daemon.farend;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.transport.connection.HttpClient;

/** The weight store over HTTP and JSON. */
public final class HttpWeightStore implements WeightStore {
  private final PlatformCalls calls;
  private final InetSocketAddress address;

  /**
   * Creates a client.
   *
   * @param client carries the calls
   * @param address the weight store
   * @param timeoutMs the longest time for one call, in milliseconds
   */
  public HttpWeightStore(HttpClient client, InetSocketAddress address, int timeoutMs) {
    this.calls =
        new PlatformCalls(client, "weight store", ErrorCode.PLATFORM_UNAVAILABLE, timeoutMs);
    this.address = address;
  }

  @Override
  public CompletionStage<Versions> versions(String model) {
    String target = "/models/" + PlatformCalls.encode(model) + "/versions";
    return calls.call(
        calls.request("GET", address, target).build(),
        answer -> {
          calls.requireOk(answer);
          return readVersions(answer.json());
        });
  }

  private static Versions readVersions(JsonNode body) {
    List<Long> versions = new ArrayList<>();
    for (JsonNode version : JsonFields.requireArray(body, "versions")) {
      if (!version.isIntegralNumber()) {
        throw new IllegalArgumentException("a version is not an integer");
      }
      versions.add(version.longValue());
    }
    versions.sort(null);
    long latest = body.hasNonNull("latest") ? JsonFields.requireLong(body, "latest") : 0;
    return new Versions(latest, versions);
  }
}
