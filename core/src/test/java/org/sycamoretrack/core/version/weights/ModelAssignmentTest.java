package org.sycamoretrack.core.version.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link ModelAssignment}. */
class ModelAssignmentTest {
  /** Parses {@code m=ab n=c} as shares of endpoints with one-letter ids. */
  private static Map<String, List<String>> shares(String text) {
    Map<String, List<String>> shares = new TreeMap<>();
    for (String share : text == null ? new String[0] : text.split(" ", -1)) {
      String[] parts = share.split("=", -1);
      shares.put(parts[0], letters(parts[1]));
    }
    return shares;
  }

  private static List<String> letters(String text) {
    return text == null
        ? List.of()
        : text.chars().mapToObj(Character::toString).filter(letter -> !letter.isEmpty()).toList();
  }

  @ParameterizedTest(name = "{1} with {0}: {2}")
  @CsvSource({
    ", abcd, m=ac n=bd",
    "m=ac n=bd, abcd, m=ac n=bd",
    "m=ac n=bd, bcd, m=c n=bd",
    "m=c n=bd, bcde, m=ce n=bd",
    "m=ab n=cd, ab, m=a n=b",
    "m=abc n=d, abcd, m=ab n=cd",
    ", a, m=a n=a",
    "m=a n=, a, m=a n=a",
    ", , m= n="
  })
  void balancesSharesWithFewMoves(String previous, String endpoints, String expected) {
    Map<String, List<String>> assigned =
        ModelAssignment.assign(List.of("m", "n"), letters(endpoints), shares(previous));

    assertThat(
            assigned.entrySet().stream()
                .map(entry -> entry.getKey() + "=" + String.join("", entry.getValue()))
                .collect(Collectors.joining(" ")))
        .isEqualTo(expected);
  }
}
