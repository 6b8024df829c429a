package org.sycamoretrack.daemon.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.standins.process.FaultKind;

/** Tests {@link HttpObjectStore} against the contract of {@link ObjectStore}, with a stand-in. */
class ObjectStoreContractTest {
  private final PlatformFixture fixture = new PlatformFixture();
  private final ObjectStore store =
      new HttpObjectStore(fixture.client, fixture.platform.address(), PlatformFixture.TIMEOUT_MS);

  @AfterEach
  void stop() {
    fixture.close();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @CsvSource({"plain", "with/slash/es", "with space", "ü+?&#"})
  void storesUnderKeysOfAnyCharacters(String key) {
    assertThat(PlatformFixture.get(store.get(key))).isEmpty();
    PlatformFixture.get(store.put(key, bytes("a")));
    assertThat(PlatformFixture.get(store.putIfAbsent(key, bytes("b")))).isFalse();
    assertThat(PlatformFixture.get(store.get(key))).contains(bytes("a"));
    PlatformFixture.get(store.put(key, bytes("c")));
    assertThat(PlatformFixture.get(store.get(key))).contains(bytes("c"));
    assertThat(PlatformFixture.get(store.list(""))).containsExactly(key);
    PlatformFixture.get(store.delete(key));
    PlatformFixture.get(store.delete(key));
    assertThat(PlatformFixture.get(store.get(key))).isEmpty();
    assertThat(PlatformFixture.get(store.putIfAbsent(key, bytes("d")))).isTrue();
  }

  @Test
  void listsByPrefixInOrder() {
    for (String key : new String[] {"s/2", "t/1", "s/1", "r"}) {
      PlatformFixture.get(store.put(key, bytes(key)));
    }
    assertThat(PlatformFixture.get(store.list("s/"))).containsExactly("s/1", "s/2");
  }

  @ParameterizedTest
  @CsvSource({
    "REFUSED, NOT_RUN, false",
    "OUTAGE, UNKNOWN, false",
    "LOST_ANSWER, UNKNOWN, true",
    "REORDERED, UNKNOWN, true",
    "CUT_OFF, UNKNOWN, true",
    "STALLED, UNKNOWN, true",
    "OVERSIZED, UNKNOWN, true",
  })
  void failedWriteSaysWhetherItMayHaveTakenEffect(
      FaultKind kind, ExecutionOutcome outcome, boolean tookEffect) {
    fixture.platform.faults().add(PlatformFixture.singleFault(kind, "/objects"));
    SycamoreException failure = PlatformFixture.failure(store.put("k", bytes("a")));
    assertThat(failure.outcome()).isEqualTo(outcome);
    assertThat(PlatformFixture.get(store.get("k")).isPresent()).isEqualTo(tookEffect);
  }

  @ParameterizedTest
  @EnumSource(
      value = FaultKind.class,
      names = {
        "SLOW",
        "REFUSED",
        "OUTAGE",
        "LOST_ANSWER",
        "REORDERED",
        "CUT_OFF",
        "OVERSIZED",
        "STALLED"
      })
  void failedReadIsNotReportedAsAMissingObject(FaultKind kind) {
    PlatformFixture.get(store.put("k", bytes("a longer content")));
    fixture.platform.faults().add(PlatformFixture.singleFault(kind, "/objects"));
    assertThat(PlatformFixture.failure(store.get("k")).code())
        .isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
    fixture.platform.faults().add(PlatformFixture.singleFault(kind, "/objects"));
    assertThat(PlatformFixture.failure(store.list("")).code())
        .isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
  }

  @Test
  void malformedListFails() {
    fixture.platform.faults().add(PlatformFixture.singleFault(FaultKind.MALFORMED, "/objects"));
    PlatformFixture.failure(store.list(""));
  }
}
