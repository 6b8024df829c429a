package org.sycamoretrack.core.version.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link Manifest} and {@link Route}. */
class ManifestTest {
  private static Route route(String name, String host, String prefix) {
    return Route.builder().name(name).host(host).prefix(prefix).kind(RouteKind.SAFE).build();
  }

  private final Manifest manifest =
      new Manifest(
          3,
          List.of(
              route("short", "h", "/a/"),
              route("long", "h", "/a/b/"),
              route("other", "g", "/a/"),
              route("root", "g", "/")),
          List.of(),
          0);

  @ParameterizedTest
  @CsvSource({
    "h, /a/x, short",
    "h, /a/b/x, long",
    "h, /a/b, short",
    "h, /a/, short",
    "h, /a/bb/x, short",
    "h, /a, ",
    "h, /x/a/, ",
    "g, /a/b/x, other",
    "g, /x/y, root",
    "i, /a/x, ",
    "h, , "
  })
  void matchesTheLongestPrefix(String host, String path, String expected) {
    assertThat(manifest.route(host, path == null ? "" : path).map(Route::name).orElse(null))
        .isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({"0, a", "89, a", "90, b", "99, b", "100, a", "-1, b"})
  void splitsByWeight(int draw, String expected) {
    Route route =
        Route.builder()
            .name("r")
            .host("h")
            .prefix("/")
            .kind(RouteKind.SAFE)
            .services(List.of(new WeightedService("a", 90), new WeightedService("b", 10)))
            .build();

    assertThat(route.selectService(draw)).isEqualTo(expected);
  }
}
