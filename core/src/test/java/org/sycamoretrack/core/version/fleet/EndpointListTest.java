package org.sycamoretrack.core.version.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link EndpointList}. */
class EndpointListTest {
  private static final List<String> IDS = List.of("e-1", "e-2", "e-3", "e-4");

  private final EndpointList list = new EndpointList();

  private static Endpoint endpoint(String id, String service, int version) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("host", 1);
    return new Endpoint(id, service, address, "z", 4, false, 100, Map.of("m", version));
  }

  @BeforeEach
  void listFourEndpoints() {
    IDS.forEach(id -> list.put(endpoint(id, "s", 1)));
  }

  /** Guards against the removal of endpoints whose renewed entries equal those that expired. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void renewedEndpointStaysWhateverItsEntrySays(int renewedVersion) {
    assertThat(list.remove(IDS, true)).isTrue();

    list.put(endpoint("e-1", "s", renewedVersion));

    assertThat(list.removeRetained()).isTrue();
    assertThat(list.ids()).containsExactly("e-1");
  }

  /** Guards against listing an endpoint for good that changed while its entry was missing. */
  @Test
  void retainedEndpointThatDrainsIsRemoved() {
    list.remove(IDS, true);
    list.update("e-1", Endpoint::asDraining);
    assertThat(list.ids()).contains("e-1");

    list.removeRetained();

    assertThat(list.ids()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"4, true, 4", "2, true, 4", "1, true, 3", "4, false, 0", "1, false, 3"})
  void endpointsAreRetainedIfHalfOfTheirServiceMayHaveExpired(
      int removed, boolean mayHaveExpired, int left) {
    list.put(endpoint("other", "s-2", 1));

    boolean retained = list.remove(IDS.subList(0, removed), mayHaveExpired);

    assertThat(retained).isEqualTo(mayHaveExpired && left == 4);
    assertThat(list.ids()).contains("other").hasSize(left + 1);
  }

  /** A read of the whole table lacks the entries that are not yet renewed. */
  @Test
  void retainedEndpointIsNotRemovedBeforeTheEndOfTheGracePeriod() {
    list.remove(IDS, true);
    List.of("e-1", "e-2", "e-3").forEach(id -> list.put(endpoint(id, "s", 1)));

    list.remove(Set.of("e-4"), true);

    assertThat(list.ids()).hasSize(4);
    assertThat(list.removeRetained()).isTrue();
    assertThat(list.ids()).containsExactlyInAnyOrder("e-1", "e-2", "e-3");
    assertThat(list.removeRetained()).isFalse();
  }

  @Test
  void drainingAndUnusableEndpointsAreNotRetained() {
    list.update("e-1", Endpoint::asDraining);
    list.remove(IDS, true);
    list.removeUnusable("e-2");

    assertThat(list.ids()).containsExactlyInAnyOrder("e-3", "e-4");
    assertThat(list.all()).extracting(Endpoint::id).containsExactlyInAnyOrder("e-3", "e-4");
  }
}
