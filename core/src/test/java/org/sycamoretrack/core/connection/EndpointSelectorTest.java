package org.sycamoretrack.core.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.core.request.RequestClass;

/** Tests of {@link EndpointSelector}. */
class EndpointSelectorTest {
  private static final long NOW_MS = 100_000;

  private final EndpointSelector selector = new EndpointSelector(new SplittableRandom(5));

  private static EndpointView.Builder view(String name) {
    return EndpointView.builder(name, "svea-a")
        .limit(8)
        .timePerTokenMs(20)
        .servedVersion(7)
        .asOfMs(NOW_MS);
  }

  private static RequestTraits traits(long prefixHash, String... excluded) {
    return new RequestTraits(
        RequestClass.INTERACTIVE, "svea-a", prefixHash, 7, 100, Set.of(excluded));
  }

  private String choose(RequestTraits traits, EndpointView.Builder... views) {
    List<EndpointView> built = new ArrayList<>();
    for (EndpointView.Builder view : views) {
      built.add(view.build());
    }
    return selector.choose(built, traits, NOW_MS).orElse(null);
  }

  @Test
  void ineligibleEndpointsAreSkipped() {
    assertThat(
            choose(
                traits(0, "x"),
                view("x"),
                view("leaving").inService(false),
                view("old").servedVersion(6),
                view("ok").inFlight(8)))
        .isEqualTo("ok");
    assertThat(choose(traits(0), view("leaving").inService(false))).isNull();
  }

  @Test
  void earliestExpectedCompletionWinsNotFewestInFlight() {
    assertThat(choose(traits(0), view("slow").timePerTokenMs(100), view("fast").inFlight(6)))
        .isEqualTo("fast");
    assertThat(choose(traits(0), view("full").queuedTokens(4_000), view("free").inFlight(7)))
        .isEqualTo("free");
  }

  @Test
  void localZoneIsPreferredWhileItHasAFreeSlot() {
    EndpointView.Builder remote =
        EndpointView.builder("remote", "svea-b").limit(8).servedVersion(7).asOfMs(NOW_MS);
    assertThat(choose(traits(0), view("local").inFlight(7), remote)).isEqualTo("local");
    assertThat(choose(traits(0), view("local").inFlight(9), remote)).isEqualTo("remote");
  }

  @Test
  void ejectedEndpointsAreUsedOnlyWhenTooFewAreLeft() {
    EndpointView.Builder ejected = view("fast").timePerTokenMs(1).ejection(EjectionState.EJECTED);
    assertThat(choose(traits(0), ejected, view("b"))).isEqualTo("b");
    assertThat(choose(traits(0), ejected, ejected, view("b"))).isEqualTo("fast");
  }

  @Test
  void rolloutWorkProbesAtOnceAndOneInEightInteractiveCallsDoes() {
    EndpointView.Builder due = view("due").ejection(EjectionState.PROBE_DUE);
    RequestTraits rollout = new RequestTraits(RequestClass.ROLLOUT, "svea-a", 0, 7, 100, Set.of());
    assertThat(choose(rollout, due, view("b"), view("c"))).isEqualTo("due");
    int probes = 0;
    for (int call = 0; call < 8_000; call++) {
      probes += choose(traits(0), due, view("b"), view("c")).equals("due") ? 1 : 0;
    }
    assertThat(probes).isBetween(850, 1_150);
    assertThat(choose(traits(0), due)).isEqualTo("due");
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 99})
  void prefixAffinityHoldsWithinTheSlack(long prefixHash) {
    EndpointView.Builder[] views = {view("a"), view("b"), view("c"), view("d")};
    String preferred = choose(traits(prefixHash), views);
    assertThat(choose(traits(prefixHash), views)).isEqualTo(preferred);
    for (EndpointView.Builder view : views) {
      if (view.build().name().equals(preferred)) {
        view.timePerTokenMs(24);
      }
    }
    assertThat(choose(traits(prefixHash), views)).isEqualTo(preferred);
    for (EndpointView.Builder view : views) {
      if (view.build().name().equals(preferred)) {
        view.timePerTokenMs(60);
      }
    }
    assertThat(choose(traits(prefixHash), views)).isNotEqualTo(preferred);
  }

  @Test
  void prefixesSpreadOverEndpoints() {
    Map<String, Integer> chosen = new HashMap<>();
    for (long prefixHash = 1; prefixHash <= 4_000; prefixHash++) {
      chosen.merge(
          choose(traits(prefixHash), view("a"), view("b"), view("c"), view("d")), 1, Integer::sum);
    }
    assertThat(chosen.values()).allMatch(count -> count > 800 && count < 1_200);
  }

  @Test
  void staleViewsDoNotSendAllRequestsToOneEndpoint() {
    Map<String, Integer> chosen = new HashMap<>();
    for (int i = 0; i < 1_000; i++) {
      EndpointView.Builder[] views = new EndpointView.Builder[8];
      for (int j = 0; j < 8; j++) {
        views[j] = view("e" + j).asOfMs(NOW_MS - 1_000).queuedTokens(j * 100L);
      }
      chosen.merge(choose(traits(0), views), 1, Integer::sum);
    }
    assertThat(chosen.get("e0")).isLessThan(400);
    assertThat(chosen.getOrDefault("e7", 0)).isLessThan(50);
  }

  @Property(tries = 300)
  void chosenEndpointIsEligible(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<EndpointView> views = new ArrayList<>();
    EjectionState[] states = EjectionState.values();
    for (int i = 0; i < random.nextInt(1, 8); i++) {
      views.add(
          view("e" + i)
              .inService(random.nextInt(3) > 0)
              .servedVersion(random.nextInt(6, 9))
              .ejection(states[random.nextInt(states.length)])
              .inFlight(random.nextInt(12))
              .asOfMs(NOW_MS - random.nextInt(200))
              .build());
    }
    var chosen =
        new EndpointSelector(random).choose(views, traits(random.nextInt(3), "e1"), NOW_MS);
    boolean anyAllowed =
        views.stream()
            .anyMatch(v -> v.inService() && v.servedVersion() >= 7 && !v.name().equals("e1"));
    assertThat(chosen.isPresent()).isEqualTo(anyAllowed);
    chosen.ifPresent(
        name -> {
          EndpointView view = views.stream().filter(v -> v.name().equals(name)).findFirst().get();
          assertThat(view.inService()).isTrue();
          assertThat(view.servedVersion()).isGreaterThanOrEqualTo(7);
          assertThat(name).isNotEqualTo("e1");
        });
  }
}
