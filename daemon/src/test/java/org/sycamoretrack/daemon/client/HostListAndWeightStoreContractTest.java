package org.sycamoretrack.daemon.client;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.standins.process.Host;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpResponse;

/** Tests the HTTP clients of {@link HostList} and {@link WeightStore} with a stand-in. */
class HostListAndWeightStoreContractTest {
  private final PlatformFixture fixture = new PlatformFixture();
  private final HostList hosts = hostsAt(fixture.platform.address());
  private final WeightStore weights = weightsAt(fixture.platform.address());

  private HostList hostsAt(java.net.InetSocketAddress address) {
    return new HttpHostList(fixture.client, address, PlatformFixture.TIMEOUT_MS);
  }

  private WeightStore weightsAt(java.net.InetSocketAddress address) {
    return new HttpWeightStore(fixture.client, address, PlatformFixture.TIMEOUT_MS);
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Test
  void readsHostsOfBothRolesAndStates() {
    fixture.platform.hosts().setLagMs(0);
    fixture
        .platform
        .hosts()
        .put(new Host("e1", "endpoint", "127.0.0.1", 80, "svea-a", "modellhall", "leaving"));
    fixture.platform.hosts().put(new Host("n1", "entry", "127.0.0.1", 81, "svea-b", null, "live"));
    assertThat(PlatformFixture.get(hosts.hosts()).hosts())
        .containsExactlyInAnyOrder(
            new HostList.Host(
                "e1",
                HostList.Role.ENDPOINT,
                "127.0.0.1",
                80,
                "svea-a",
                "modellhall",
                HostList.State.LEAVING),
            new HostList.Host(
                "n1", HostList.Role.ENTRY, "127.0.0.1", 81, "svea-b", null, HostList.State.LIVE));
  }

  @Test
  void staleHostListHasTheTimeOfItsSnapshot() {
    fixture.platform.hosts().setLagMs(0);
    long firstMs = PlatformFixture.get(hosts.hosts()).asOfMs();
    fixture.platform.hosts().put(new Host("n1", "entry", "127.0.0.1", 81, "z", null, "live"));
    fixture.platform.faults().add(PlatformFixture.singleFault(FaultKind.STALE, "/hosts"));
    HostList.Snapshot stale = PlatformFixture.get(hosts.hosts());
    assertThat(stale.asOfMs()).isEqualTo(firstMs);
    assertThat(stale.hosts()).isEmpty();
    assertThat(PlatformFixture.get(hosts.hosts()).hosts()).hasSize(1);
  }

  @Test
  void readsVersions() {
    fixture.platform.weights().publish("shredder/fill", 2);
    fixture.platform.weights().publish("shredder/fill", 5);
    assertThat(PlatformFixture.get(weights.versions("shredder/fill")))
        .isEqualTo(new WeightStore.Versions(5, List.of(1L, 2L, 5L)));
  }

  @Test
  void modelWithoutVersionsHasLatestZero() {
    HttpResponse withoutVersions =
        HttpResponse.json(200, Json.object().putNull("latest").put("x", 1));
    HttpResponse emptyVersions =
        HttpResponse.json(200, Json.parse("{\"versions\":[]}".getBytes(UTF_8)));
    try (HttpServer server = fixture.serve(exchange -> exchange.respond(emptyVersions));
        HttpServer broken = fixture.serve(exchange -> exchange.respond(withoutVersions))) {
      assertThat(PlatformFixture.get(weightsAt(server.address()).versions("m")))
          .isEqualTo(new WeightStore.Versions(0, List.of()));
      PlatformFixture.failure(weightsAt(broken.address()).versions("m"));
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = FaultKind.class,
      names = {
        "SLOW",
        "REFUSED",
        "OUTAGE",
        "LOST_ANSWER",
        "REORDERED",
        "CUT_OFF",
        "TRUNCATED",
        "MALFORMED",
        "OVERSIZED",
        "STALLED"
      })
  void failedReadIsNotReportedAsAnEmptyList(FaultKind kind) {
    fixture.platform.faults().add(PlatformFixture.singleFault(kind, "/hosts"));
    fixture.platform.faults().add(PlatformFixture.singleFault(kind, "/models"));
    assertThat(PlatformFixture.failure(hosts.hosts()).code())
        .isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
    assertThat(PlatformFixture.failure(weights.versions("m")).code())
        .isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          {}
          {"asOfMs": 1, "hosts": [{}]}
          {"asOfMs": 1, "hosts": [{"hostId": "h", "role": "queen", "address": "a", "port": 1, "zone": "z", "state": "live"}]}
          {"asOfMs": 1, "hosts": [{"hostId": "h", "role": "entry", "address": "a", "port": 99999999999, "zone": "z", "state": "live"}]}
          {"asOfMs": 1, "hosts": [{"hostId": "h", "role": "entry", "address": "a", "port": 1, "zone": "z", "state": "gone"}]}
          {"latest": 1, "versions": ["1"]}
          {"latest": 1.5, "versions": [1]}
          """)
  @SuppressWarnings("checkstyle:LineLength")
  void invalidResponsesAreRejected(String body) {
    HttpResponse response = new HttpResponse(200, Map.of(), body.getBytes(UTF_8));
    try (HttpServer server = fixture.serve(exchange -> exchange.respond(response))) {
      PlatformFixture.failure(hostsAt(server.address()).hosts());
      PlatformFixture.failure(weightsAt(server.address()).versions("m"));
    }
  }
}
