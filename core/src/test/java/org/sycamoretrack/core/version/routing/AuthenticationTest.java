package org.sycamoretrack.core.version.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link Authentication} and {@link RequestCustomer}. */
class AuthenticationTest {
  private static final Manifest WITHOUT_CUSTOMERS = new Manifest(1, List.of(), List.of(), 0);
  private static final Manifest WITH_CUSTOMERS =
      WITHOUT_CUSTOMERS.withCustomers(
          CustomerKeys.builder().add(new Customer("a", OptionalInt.of(3)), "known").build());

  /**
   * Guards against requests that are served without a key, and against keys that are refused for
   * good by a manifest which doesn't contain them yet.
   */
  @ParameterizedTest(name = "customers {0}, current {1}, exempt {2}, key {3}")
  @CsvSource({
    "false, true,  false, ,        undefined",
    "false, false, false, ,        undefined",
    "false, true,  false, known,   undefined",
    "false, true,  true,  unknown, undefined",
    "true,  true,  false, known,   a",
    "true,  false, false, known,   a",
    "true,  true,  true,  known,   a",
    "true,  false, true,  known,   a",
    "true,  true,  false, unknown, Unauthorized",
    "true,  true,  false, ,        Unauthorized",
    "true,  true,  false, '',      Unauthorized",
    "true,  false, false, unknown, Undecided",
    "true,  false, false, ,        Undecided",
    "true,  true,  true,  unknown, anonymous",
    "true,  true,  true,  ,        anonymous",
    "true,  false, true,  unknown, anonymous"
  })
  void decides(
      boolean customersDefined, boolean current, boolean exempt, String key, String expected) {
    Manifest manifest = customersDefined ? WITH_CUSTOMERS : WITHOUT_CUSTOMERS;

    Authentication decision =
        Authentication.of(manifest, current, exempt, Optional.ofNullable(key));

    assertThat(describe(decision)).isEqualTo(expected);
  }

  private static String describe(Authentication decision) {
    return switch (decision) {
      case Authentication.Allowed allowed -> describe(allowed.customer());
      case Authentication.Unauthorized unauthorized -> "Unauthorized";
      case Authentication.Undecided undecided -> "Undecided";
    };
  }

  private static String describe(RequestCustomer customer) {
    return switch (customer) {
      case RequestCustomer.Known known -> known.customer().name();
      case RequestCustomer.Anonymous anonymous -> "anonymous";
      case RequestCustomer.Undefined undefined -> "undefined";
    };
  }

  private static RequestCustomer customer(String name, Integer priority) {
    return switch (name) {
      case "anonymous" -> new RequestCustomer.Anonymous();
      case "undefined" -> new RequestCustomer.Undefined();
      default ->
          new RequestCustomer.Known(
              new Customer(
                  name, priority == null ? OptionalInt.empty() : OptionalInt.of(priority)));
    };
  }

  /** Guards against batches that another customer can read, end or take for its own. */
  @ParameterizedTest
  @CsvSource({
    "a, a, true",
    "a, b, false",
    "a, '', true",
    "anonymous, a, false",
    "anonymous, '', true",
    "undefined, a, true",
    "undefined, '', true"
  })
  void batchIsAccessibleToItsCustomer(String name, String stored, boolean expected) {
    assertThat(customer(name, null).mayAccess(stored)).isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({"a, 3, 3", "a, 0, 0", "a, , 7", "anonymous, , 7", "undefined, , 7"})
  void priorityOfTheCustomerOverridesThatOfTheRoute(String name, Integer priority, int expected) {
    Route route =
        Route.builder().name("r").host("h").prefix("/").kind(RouteKind.SAFE).priority(7).build();

    assertThat(customer(name, priority).priorityOn(route)).isEqualTo(expected);
  }

  /** Guards against a stored batch that loses its customer when the manifest drops it. */
  @ParameterizedTest
  @CsvSource({"a, true, a", "a, false, a", "'', true, anonymous", "'', false, undefined"})
  void customerOfAStoredBatch(String stored, boolean customersDefined, String expected) {
    assertThat(describe(RequestCustomer.ofBatch(stored, customersDefined))).isEqualTo(expected);
  }
}
