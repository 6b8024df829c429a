package org.sycamoretrack.core.request.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link ItemText}. */
class ItemTextTest {
  @Test
  void takesEventsInOrderAndOnce() {
    ItemText text = new ItemText();

    assertThat(text.append(1, "a", 3)).isTrue();
    assertThat(text.append(1, "a", 3)).isFalse();
    assertThat(text.append(3, "c", 3)).isFalse();
    assertThat(text.append(2, "b", 4)).isTrue();

    assertThat(text.data()).isEqualTo("a\nb");
    assertThat(text.lastEvent()).isEqualTo(2);
    assertThat(text.versions()).containsExactly(3, 4);
  }

  @Test
  void continuesFromASavedText() {
    ItemText text = new ItemText("a\nb", 2, List.of(3));

    assertThat(text.append(1, "a", 3)).isFalse();
    assertThat(text.append(3, "c", 3)).isTrue();
    assertThat(text.data()).isEqualTo("a\nb\nc");
  }

  @Test
  void firstEventMayBeEmpty() {
    ItemText text = new ItemText();

    text.append(1, "", 3);
    text.append(2, "b", 3);

    assertThat(text.data()).isEqualTo("\nb");
  }

  @ParameterizedTest
  @CsvSource({
    "3, false, 3, true",
    "4, false, 3, true",
    "2, false, 3, false",
    "3, true, 3, true",
    "4, true, 3, false",
    "2, true, 1, false"
  })
  void acceptsVersionsThatTheBatchAllows(
      int version, boolean singleVersion, int minVersion, boolean accepted) {
    ItemText text = new ItemText();
    text.append(1, "a", 3);

    assertThat(text.accepts(version, singleVersion, minVersion)).isEqualTo(accepted);
  }
}
