package org.sycamoretrack.core.version.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.version.weights.LoadPlanner.Load;
import org.sycamoretrack.core.version.weights.LoadPlanner.NewestVersion;
import org.sycamoretrack.core.version.weights.LoadPlanner.Target;

/** Tests of {@link LoadPlanner}. */
class LoadPlannerTest {
  /**
   * Parses {@code m3 m3* n2} as endpoints a, b, c of models m, m and n; an asterisk marks a load.
   */
  private static List<Target> targets(String text) {
    List<Target> targets = new ArrayList<>();
    for (String token : text.split(" ", -1)) {
      String id = String.valueOf((char) ('a' + targets.size()));
      int version = Integer.parseInt(token.substring(1).replace("*", ""));
      targets.add(new Target(id, token.substring(0, 1), version, token.endsWith("*")));
    }
    return targets;
  }

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({
    // All endpoints are up to date.
    "m3 m3 n2 n2, ''",
    // At most half of a share loads concurrently.
    "m2 m2 m2 m2 n2, 'a b'",
    "m2 m2 m2 n2 n2, 'a'",
    // The second half waits for the first.
    "m2* m2* m2 m2 n2, ''",
    "m3 m2* m2 m2 n2, 'c'",
    // The endpoint with the oldest version is loaded first.
    "m2 m1 m2 n2 n2, 'b'",
    // The only endpoint of a share is loaded too.
    "m2 n2, 'a'",
    // The limit is shared between models; the endpoints furthest behind are loaded first.
    "m2 m2 m2 m2 n1 n1 n1 n1, 'a b'",
    "m2 m2 n0 n0, 'a c'"
  })
  void loadsAtMostHalfOfAShareAtOnce(String endpoints, String expected) {
    Map<String, NewestVersion> announced =
        Map.of("m", new NewestVersion(3, 5_000), "n", new NewestVersion(2, 5_000));
    List<Load> loads =
        new LoadPlanner(ConcurrentLoadLimit.fixed(2)).next(targets(endpoints), announced);

    assertThat(loads.stream().map(Load::endpointId).sorted().toList())
        .isEqualTo(
            Arrays.stream(expected.split(" ", -1)).filter(token -> !token.isEmpty()).toList());
    assertThat(loads).allMatch(load -> load.version() == (load.model().equals("m") ? 3 : 2));
  }

  /** Guards against loading endpoints that can serve the batch submitted with a new version. */
  @ParameterizedTest(name = "{0} after {1} ms: {2}")
  @CsvSource({
    "m2 m2 m2 m2, 0, ''",
    "m2 m2 m2 m2, 1199, ''",
    "m2 m2 m2 m2, 1200, 'a b'",
    "m1 m1 m2 m2, 0, 'a b'",
    "m1 m2 m2 m2, 0, 'a'",
    "m1 m2 m2 m2, 1200, 'a b'"
  })
  void delaysEndpointsThatCanStillServeTheNewBatch(String endpoints, long ageMs, String expected) {
    List<Load> loads =
        new LoadPlanner(ConcurrentLoadLimit.fixed(2))
            .next(targets(endpoints), Map.of("m", new NewestVersion(3, ageMs)));

    assertThat(String.join(" ", loads.stream().map(Load::endpointId).sorted().toList()))
        .isEqualTo(expected);
  }

  @Test
  void theVersionAnnouncedFirstIsLoadedFirst() {
    Map<String, NewestVersion> announced =
        Map.of("m", new NewestVersion(3, 1_500), "n", new NewestVersion(2, 3_000));

    assertThat(
            new LoadPlanner(ConcurrentLoadLimit.fixed(2))
                .next(targets("m2 m2 m2 m2 n1 n1 n1 n1"), announced))
        .extracting(Load::endpointId)
        .containsExactly("e", "f");
  }

  @ParameterizedTest(name = "{0} endpoints: {1}")
  @CsvSource({"1, 2", "6, 2", "8, 2", "10, 3", "31, 9", "34, 10"})
  void theLimitGrowsWithTheNumberOfEndpoints(int endpoints, int loads) {
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      String model = "m" + i % 4;
      targets.add(new Target("e" + i, model, 1, false));
    }
    Map<String, NewestVersion> announced = new HashMap<>();
    targets.forEach(target -> announced.put(target.model(), new NewestVersion(3, 5_000)));

    assertThat(new LoadPlanner(new ConcurrentLoadLimit(2, 0.3)).next(targets, announced))
        .hasSize(Math.min(loads, endpoints));
  }
}
