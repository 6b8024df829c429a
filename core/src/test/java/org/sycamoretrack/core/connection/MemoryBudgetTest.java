package org.sycamoretrack.core.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link MemoryBudget}. */
class MemoryBudgetTest {
  private static final long MAX_BYTES = 12_000;

  private final MemoryBudget budget = new MemoryBudget(MAX_BYTES);

  @ParameterizedTest
  @CsvSource({"1, 6000", "2, 4000", "3, 3000", "11, 1000"})
  void holdersThatGrowWithoutEndLeaveAShareFree(int holders, long shareBytes) {
    long[] heldBytes = new long[holders];
    boolean grown = true;
    while (grown) {
      grown = false;
      for (int i = 0; i < holders; i++) {
        if (budget.tryReserve(heldBytes[i], 1)) {
          heldBytes[i]++;
          grown = true;
        }
      }
    }

    assertThat(heldBytes).containsOnly(shareBytes);
    assertThat(budget.reservedBytes()).isEqualTo(MAX_BYTES - shareBytes);
    assertThat(budget.tryReserve(0, shareBytes / 2)).isTrue();
  }

  @Test
  void releasedBytesCanBeReservedAgain() {
    assertThat(budget.tryReserve(0, 6_000)).isTrue();
    assertThat(budget.tryReserve(0, 6_000)).isFalse();
    budget.release(6_000);

    assertThat(budget.reservedBytes()).isZero();
    assertThat(budget.tryReserve(0, 6_000)).isTrue();
  }

  @Test
  void refusalReservesNothing() {
    assertThat(budget.tryReserve(0, MAX_BYTES)).isFalse();

    assertThat(budget.reservedBytes()).isZero();
  }
}
