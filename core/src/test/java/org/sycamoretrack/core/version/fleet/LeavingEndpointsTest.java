package org.sycamoretrack.core.version.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link LeavingEndpoints}. */
class LeavingEndpointsTest {
  private final LeavingEndpoints leaving = new LeavingEndpoints();

  private static Endpoint endpoint(String id, long startedAtMs) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("host", 1);
    return new Endpoint(id, "s", address, "z", 4, false, startedAtMs, Map.of("m", 1));
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "the instance that said so, e-1, 100, true",
    "a restart under its id, e-1, 900, false",
    "an older row of that id, e-1, 50, false",
    "another endpoint, e-2, 100, false"
  })
  void holdsForOneInstanceOnly(String description, String id, long startedAtMs, boolean expected) {
    leaving.add("e-1", 100);

    Endpoint listed = endpoint(id, startedAtMs);
    assertThat(leaving.contains(listed)).as(description).isEqualTo(expected);
    assertThat(leaving.apply(listed)).isEqualTo(expected ? listed.asDraining() : listed);
  }

  @Test
  void tellsWhetherAStatementIsNew() {
    assertThat(leaving.add("e-1", 100)).isTrue();
    assertThat(leaving.add("e-1", 100)).isFalse();
    assertThat(leaving.add("e-1", 900)).isTrue();
    // A late statement of the earlier instance says nothing about the one that runs now.
    assertThat(leaving.add("e-1", 100)).isFalse();
    assertThat(leaving.contains(endpoint("e-1", 900))).isTrue();
  }

  @Test
  void keepsTheNewestStatements() {
    for (int i = 0; i < 20_000; i++) {
      leaving.add("e-" + i, 1);
    }
    assertThat(leaving.contains(endpoint("e-19999", 1))).isTrue();
    assertThat(leaving.contains(endpoint("e-12000", 1))).isTrue();
    assertThat(leaving.contains(endpoint("e-0", 1))).isFalse();
  }
}
