package org.sycamoretrack.core.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link RendezvousHash}. */
class RendezvousHashTest {
  private static final int KEYS = 10_000;

  @Test
  void noOwnerWithoutMembers() {
    assertThat(RendezvousHash.owner("k", List.of())).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3, 9, 12})
  void spreadsKeysEvenly(int members) {
    List<String> nodes = IntStream.range(0, members).mapToObj(i -> "node-" + i).toList();
    int[] owned = new int[members];
    for (int i = 0; i < KEYS; i++) {
      owned[nodes.indexOf(RendezvousHash.owner("key-" + i, nodes).orElseThrow())]++;
    }
    for (int count : owned) {
      assertThat(count).isBetween(KEYS / members * 8 / 10, KEYS / members * 12 / 10);
    }
  }

  @Test
  void onlyKeysOfTheRemovedMemberMove() {
    List<String> before = List.of("a", "b", "c", "d");
    List<String> after = new ArrayList<>(before);
    after.remove("c");
    for (int i = 0; i < KEYS; i++) {
      String owner = RendezvousHash.owner("key-" + i, before).orElseThrow();
      if (!owner.equals("c")) {
        assertThat(RendezvousHash.owner("key-" + i, after)).contains(owner);
      }
    }
  }
}
