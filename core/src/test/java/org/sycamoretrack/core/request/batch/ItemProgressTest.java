package org.sycamoretrack.core.request.batch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link ItemProgress}. */
class ItemProgressTest {
  /** Guards against a text without end that fills the memory. */
  @ParameterizedTest
  @CsvSource({"100, 41984", "0, 1048576", "1000000000, 1048576"})
  void removesATextThatIsLongerThanTheItemAllows(int maxTokens, int maxChars) {
    ItemProgress item =
        new ItemProgress(BatchItem.builder(0, "i", "/x").maxTokens(maxTokens).build(), false);
    item.text().append(1, "x".repeat(maxChars), 3);
    assertThat(item.discardIfTooLong()).isFalse();
    item.text().append(2, "", 3);

    assertThat(item.discardIfTooLong()).isTrue();
    assertThat(item.text().lastEvent()).isZero();
    assertThat(item.text().data()).isEmpty();
  }
}
