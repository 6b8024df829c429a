package org.sycamoretrack.daemon.process;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;
import org.sycamoretrack.core.process.MembershipView;
import org.sycamoretrack.daemon.client.HttpTableStore;
import org.sycamoretrack.daemon.connection.PeerIdentity;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.version.ConfigurationService;
import org.sycamoretrack.standins.process.PlatformStandin;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/** Tests of {@link OperatorApi} over HTTP. */
class OperatorApiTest {
  private static final long SEED = 7;
  private static final String POOL =
      "{'labels':{'site':'svea'},'spec':{'type':'model','model':'m'}}";

  private final EventLoopGroup group = EventLoops.start("test", 2);
  private final HttpClient client = new HttpClient(group, 2_000);
  private final PlatformStandin platform = PlatformStandin.builder().start();
  private final ControlAgent control =
      new ControlAgent(1_024, SystemNanoClock.INSTANCE, new Random(SEED));
  private final PeerLink link =
      PeerLink.builder()
          .group(group)
          .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
          .identity(() -> new PeerIdentity("a", "svea-a", "svealand", 1, "127.0.0.1:1"))
          .start();
  private HttpServer server;
  private volatile boolean ready;

  @AfterEach
  void stop() {
    server.close();
    link.close();
    control.close();
    platform.close();
    EventLoops.stop(group);
  }

  private void start(String token) {
    Member self = new Member("a", "svea-a", "svealand", "127.0.0.1:1", 1, 0, MemberState.ALIVE, 0);
    MembershipView view = new MembershipView(self, List.of());
    ConfigurationService configuration =
        new ConfigurationService(
            control,
            link,
            () -> view,
            new HttpTableStore(client, platform.address(), 2_000),
            new Random(SEED));
    control.start();
    configuration.start();
    OperatorApi api =
        OperatorApi.builder()
            .configuration(configuration)
            .token(token)
            .metrics(() -> "sample_total 1\n")
            .ready(() -> ready)
            .build();
    api.register(
        new StateSource() {
          @Override
          public String name() {
            return "sample";
          }

          @Override
          public JsonNode state() {
            return Json.object().put("value", 7);
          }
        });
    server =
        HttpServer.builder()
            .group(group)
            .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .handler(api)
            .start();
  }

  private HttpResponse call(String method, String target, String body, String... headers)
      throws Exception {
    HttpRequest.Builder request = HttpRequest.builder(method, server.address(), target);
    if (body != null) {
      request.body(body.replace('\'', '"').getBytes(UTF_8));
    }
    for (int i = 0; i < headers.length; i += 2) {
      request.header(headers[i], headers[i + 1]);
    }
    return client.call(request.build()).get(15, TimeUnit.SECONDS);
  }

  private static String code(HttpResponse response) {
    return response.json().path("error").path("code").asText();
  }

  @Test
  void aResourceIsCreatedReadChangedAndRemoved() throws Exception {
    start(null);
    HttpResponse created = call("PUT", "/v1/resources/pools/p", POOL, "If-None-Match", "*");
    assertThat(created.status()).isEqualTo(200);
    assertThat(created.header("etag")).isEqualTo("\"1\"");
    HttpResponse again = call("PUT", "/v1/resources/pools/p", POOL, "If-None-Match", "*");
    assertThat(again.status()).isEqualTo(409);
    assertThat(code(again)).isEqualTo("version-conflict");
    assertThat(again.json().path("current").path("version").asLong()).isEqualTo(1);

    HttpResponse changed =
        call("PUT", "/v1/resources/pools/p", POOL.replace("svea", "galle"), "If-Match", "\"1\"");
    assertThat(changed.header("etag")).isEqualTo("\"2\"");
    assertThat(call("DELETE", "/v1/resources/pools/p", null, "If-Match", "\"1\"").status())
        .isEqualTo(409);
    HttpResponse read = call("GET", "/v1/resources/pools/p", null);
    assertThat(read.json()).isEqualTo(changed.json());
    assertThat(read.json().at("/labels/site").asText()).isEqualTo("galle");

    assertThat(call("DELETE", "/v1/resources/pools/p", null, "If-Match", "\"2\"").status())
        .isEqualTo(200);
    assertThat(call("GET", "/v1/resources/pools/p", null).status()).isEqualTo(404);
    JsonNode configuration = call("GET", "/v1/configuration", null).json();
    assertThat(configuration.path("version").asLong()).isEqualTo(3);
    assertThat(configuration.path("resources")).isEmpty();
  }

  @Test
  void listIsFilteredBySelector() throws Exception {
    start(null);
    call("PUT", "/v1/resources/pools/p", POOL);
    call("PUT", "/v1/resources/pools/q", POOL.replace("svea", "galle"));
    String selector = URLEncoder.encode("{\"matchLabels\":{\"site\":\"galle\"}}", UTF_8);

    JsonNode all = call("GET", "/v1/resources/pools", null).json();
    JsonNode some = call("GET", "/v1/resources/pools?selector=" + selector, null).json();

    assertThat(all.path("items")).hasSize(2);
    assertThat(some.path("items")).hasSize(1);
    assertThat(some.at("/items/0/name").asText()).isEqualTo("q");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "GET | /v1/resources/trucks | | | | 404 | not-found",
        "GET | /v1/resources/pools/none | | | | 404 | not-found",
        "GET | /v1/resources/pools/a/b | | | | 404 | not-found",
        "GET | /nothing | | | | 404 | not-found",
        "POST | /v1/resources/pools | {} | | | 405 | method-not-allowed",
        "POST | /state | {} | | | 405 | method-not-allowed",
        "PUT | /v1/resources/pools/p | { | | | 400 | invalid-request",
        "PUT | /v1/resources/pools/p | [] | | | 400 | invalid-request",
        "PUT | /v1/resources/pools/p | {} | | | 400 | invalid-request",
        "PUT | /v1/resources/pools/p | {\"name\":\"q\"} | | | 400 | invalid-request",
        "PUT | /v1/resources/pools/%zz | {} | | | 400 | invalid-request",
        "DELETE | /v1/resources/pools/none | | | | 404 | not-found",
        "DELETE | /v1/resources/pools/none | | If-Match | x | 400 | invalid-request",
        "DELETE | /v1/resources/pools/none | | If-Match | 1 | 409 | version-conflict",
        "DELETE | /v1/resources/pools/none | | If-None-Match| 1 | 400 | invalid-request",
        "GET | /v1/resources/pools?selector=1 | | | | 400 | invalid-request",
      })
  void invalidRequestsGetAnErrorCode(
      String method,
      String target,
      String body,
      String header,
      String value,
      int status,
      String code)
      throws Exception {
    start(null);
    HttpResponse response =
        header == null ? call(method, target, body) : call(method, target, body, header, value);
    assertThat(response.status()).isEqualTo(status);
    assertThat(code(response)).isEqualTo(code);
    assertThat(response.json().at("/error/outcome").asText()).isEqualTo("not-run");
  }

  @ParameterizedTest
  @CsvSource({
    "/state, , 401",
    "/state, Bearer wrong, 401",
    "/state, Bearer secre, 401",
    "/state, secret, 401",
    "/state, Bearer secret, 200",
    "/metrics, , 401",
    "/v1/configuration, , 401",
    "/v1/resources/pools, , 401",
    "/healthz, , 200",
    "/readyz, , 503",
  })
  void callsNeedTheToken(String target, String authorization, int status) throws Exception {
    start("secret");
    HttpResponse response =
        authorization == null
            ? call("GET", target, null)
            : call("GET", target, null, "Authorization", authorization);
    assertThat(response.status()).isEqualTo(status);
  }

  @Test
  void showsMetricsStateAndReadiness() throws Exception {
    start(null);
    assertThat(new String(call("GET", "/metrics", null).body(), UTF_8))
        .isEqualTo("sample_total 1\n");
    assertThat(call("GET", "/state", null).json().at("/sample/value").asInt()).isEqualTo(7);
    assertThat(call("GET", "/readyz", null).status()).isEqualTo(503);
    ready = true;
    assertThat(call("GET", "/readyz", null).status()).isEqualTo(200);
  }

  @Test
  void validationSeesResourcesTogetherAndChangesNothing() throws Exception {
    start(null);
    String pool = "{'kind':'pools','name':'p','spec':{'type':'service'}}";
    String service = "{'kind':'services','name':'s','spec':{'pool':'p'}}";
    String wrong = "{'kind':'tracks','name':'t','spec':{'trainerGroup':'none','scorer':'s'}}";
    HttpResponse right =
        call("POST", "/v1/validate", "{'resources':[" + service + "," + pool + "]}");
    HttpResponse refused =
        call("POST", "/v1/validate", "{'resources':[" + service + "," + wrong + ",{}]}");

    assertThat(right.status()).isEqualTo(200);
    assertThat(right.json().at("/resources/0/spec/path").asText()).isEqualTo("/score");
    assertThat(refused.status()).isEqualTo(400);
    assertThat(refused.json().at("/error/message").asText())
        .contains("/0/spec/pool: ", "/1/spec/trainerGroup: ", "/2/kind: ")
        .doesNotContain("/1/spec/scorer");
    assertThat(call("GET", "/v1/configuration", null).json().path("version").asLong()).isZero();
  }
}
