package org.sycamoretrack.core.version.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link CustomerKeys} and {@link Customer}. */
class CustomerKeysTest {
  private static final Customer A = new Customer("a", OptionalInt.of(2));
  private static final Customer B = new Customer("b", OptionalInt.empty());

  private final CustomerKeys keys =
      CustomerKeys.builder().add(A, "key-1").add(A, "key-2").add(B, "key-3").build();

  /** Guards against keys that are matched in part, without regard to case, or after trimming. */
  @ParameterizedTest
  @CsvSource({
    "key-1, a",
    "key-2, a",
    "key-3, b",
    "key-4, ",
    "key-, ",
    "key-11, ",
    "KEY-1, ",
    "' key-1', ",
    "'', "
  })
  void findsTheCustomerOfAWholeKey(String key, String expected) {
    assertThat(keys.find(key).map(Customer::name).orElse(null)).isEqualTo(expected);
  }

  /** Guards against nodes that decide differently on a key which two customers have. */
  @Test
  void keyOfTwoCustomersStaysWithTheFirst() {
    CustomerKeys shared = CustomerKeys.builder().add(B, "key").add(A, "key").build();

    assertThat(shared.find("key")).contains(B);
    assertThat(shared.size()).isEqualTo(1);
  }

  /** Guards against a key that shows when an object is logged. */
  @Test
  void textFormsContainNoKey() {
    assertThat(keys + " " + keys.find("key-1") + " " + new RequestCustomer.Known(A))
        .doesNotContain("key-1");
  }

  @Test
  void emptyKeyIsRejected() {
    assertThatThrownBy(() -> CustomerKeys.builder().add(A, ""))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against names that can't be sent as the value of a header. */
  @ParameterizedTest
  @ValueSource(strings = {"", " ", "a\r\nb", "a\u0000"})
  void nameThatIsNoHeaderValueIsRejected(String name) {
    assertThatThrownBy(() -> new Customer(name, OptionalInt.empty()))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
