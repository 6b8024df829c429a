package org.sycamoretrack.standins.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpResponse;

/** Tests of {@link PlatformStandin} and of the faults that all stand-ins support. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class PlatformStandinTest {
  private final PlatformStandin platform = PlatformStandin.builder().fetchLimit(0.001, 2).start();
  private final StandinClient client = new StandinClient();

  @AfterEach
  void stop() {
    client.close();
    platform.close();
  }

  private HttpResponse transact(String puts) {
    return client.call(
        "POST",
        platform.address(),
        "/transactions",
        "{'id':'i','checks':[],'puts':[" + puts + "]}");
  }

  private static String put(String key, String expectedVersion, String value) {
    return "{'table':'t','key':'"
        + key
        + "','expectedVersion':"
        + expectedVersion
        + ",'value':"
        + value
        + "}";
  }

  private HttpResponse read(String key) {
    return client.call("GET", platform.address(), "/tables/t/rows/" + key, "");
  }

  @ParameterizedTest
  @CsvSource({"0, 409", "1, 409", "2, 200", "3, 409", "null, 200"})
  void commitsOnlyIfExpectedVersionsMatch(String expectedVersion, int status) {
    transact(put("a", "0", "1"));
    transact(put("a", "1", "2"));
    HttpResponse response = transact(put("b", "0", "1") + "," + put("a", expectedVersion, "3"));
    assertThat(response.status()).isEqualTo(status);
    boolean committed = status == 200;
    assertThat(read("b").status()).isEqualTo(committed ? 200 : 404);
    assertThat(read("a").json().path("version").asInt()).isEqualTo(committed ? 3 : 2);
  }

  @Test
  void versionsKeepIncreasingAfterDeletion() {
    transact(put("a", "0", "1"));
    transact(put("a", "1", "null"));
    assertThat(read("a").status()).isEqualTo(404);
    assertThat(transact(put("a", "0", "1")).json().at("/versions/0").asInt()).isEqualTo(3);
  }

  @Test
  void scansPageByPage() {
    transact(put("p%1", "0", "1") + "," + put("p%2", "0", "1") + "," + put("q", "0", "1"));
    JsonNode first = client.get(platform.address(), "/tables/t/rows?prefix=p%25&limit=1");
    JsonNode rest = client.get(platform.address(), "/tables/t/rows?prefix=p%25&after=p%251");
    assertThat(first.path("rows")).hasSize(1);
    assertThat(rest.at("/rows/0/key").asText()).isEqualTo("p%2");
    assertThat(rest.path("rows")).hasSize(1);
  }

  @ParameterizedTest
  @CsvSource({
    "slow,        200,          true",
    "refused,     503,          false",
    "outage,      CLOSED_EARLY, false",
    "lost-answer, CLOSED_EARLY, true",
    "reordered,   200,          true",
    "cut-off,     CLOSED_EARLY, true",
    "malformed,   NOT_JSON,     true",
    "oversized,   TOO_LARGE,    true",
    "stalled,     TIMED_OUT,    true"
  })
  void faultDeterminesResponseAndEffect(String kind, String expectedOutcome, boolean takesEffect) {
    client.call(
        "POST", platform.address(), "/faults", "{'kind':'" + kind + "','times':1,'delayMs':50}");
    assertThat(outcomeOf(put("a", "0", "1"))).isEqualTo(expectedOutcome);
    assertThat(read("a").status()).isEqualTo(takesEffect ? 200 : 404);
    assertThat(platform.faults().occurred()).isEqualTo(1);
  }

  private String outcomeOf(String put) {
    try {
      HttpResponse response = transact(put);
      response.json();
      return Integer.toString(response.status());
    } catch (CompletionException e) {
      return ((HttpException) e.getCause()).kind().name();
    } catch (IllegalArgumentException e) {
      return "NOT_JSON";
    }
  }

  @Test
  void staleReadReturnsOldRow() {
    transact(put("a", "0", "1"));
    read("a");
    transact(put("a", "1", "2"));
    platform.faults().add(Fault.builder(FaultKind.STALE).times(1).build());
    assertThat(read("a").json().path("version").asInt()).isEqualTo(1);
    assertThat(read("a").json().path("version").asInt()).isEqualTo(2);
  }

  @Test
  void hostListLagsBehindChanges() {
    Host host = new Host("h", "entry", "127.0.0.1", 1, "galle-fort", null, "live");
    platform.hosts().put(host);
    platform.hosts().setLagMs(60_000);
    assertThat(client.get(platform.address(), "/hosts").path("hosts")).isEmpty();
    platform.hosts().setLagMs(0);
    assertThat(client.get(platform.address(), "/hosts").path("hosts")).hasSize(1);
  }

  @Test
  void weightStoreEnforcesRateLimit() {
    String target = "/models/m/versions/1/weights";
    for (int status : new int[] {200, 200, 429}) {
      HttpResponse response = client.call("GET", platform.address(), target, "");
      assertThat(response.status()).isEqualTo(status);
    }
    assertThat(client.call("GET", platform.address(), "/models/m/versions/9/weights", "").status())
        .isEqualTo(404);
  }

  @Test
  void objectKeysAreDecoded() {
    client.call("PUT", platform.address(), "/objects/a%2Fb/c", "'x'");
    assertThat(client.get(platform.address(), "/objects/a/b/c").asText()).isEqualTo("x");
    assertThat(client.get(platform.address(), "/objects?prefix=a%2F").at("/keys/0").asText())
        .isEqualTo("a/b/c");
  }
}
