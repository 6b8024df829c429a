package org.sycamoretrack.core.process.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link WrittenRowState}. */
class WrittenRowStateTest {
  /** Guards against taking a row for unread that was written and removed between two reads. */
  @ParameterizedTest
  @CsvSource({
    "7, 0, 6, NOT_READ",
    "7, 0, 7, REMOVED",
    "7, 0, 9, REMOVED",
    "7, 7, 7, CURRENT",
    "7, 7, 9, CURRENT",
    "7, 7, 6, CURRENT",
    "7, 8, 9, REPLACED",
    "7, 8, 6, REPLACED",
    "7, 5, 6, NOT_READ"
  })
  void followsFromTheVersions(
      long writtenVersion, long copiedVersion, long completeVersion, WrittenRowState expected) {
    assertThat(WrittenRowState.of(writtenVersion, copiedVersion, completeVersion))
        .isEqualTo(expected);
  }
}
