package org.sycamoretrack.daemon.client;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.request.HttpResponse;

/** Tests {@link HttpTableStore} against the contract of {@link TableStore}, with a stand-in. */
class TableStoreContractTest {
  private static final JsonNode VALUE = TextNode.valueOf("value");

  private final PlatformFixture fixture = new PlatformFixture();
  private final TableStore store = storeAt(fixture.platform.address());

  private TableStore storeAt(java.net.InetSocketAddress address) {
    return new HttpTableStore(fixture.client, address, PlatformFixture.TIMEOUT_MS);
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  private CompletionStage<TransactionResult> put(String key, long expected, String value) {
    return store.transact(
        Transaction.builder("t").put("t", key, expected, TextNode.valueOf(value)).build());
  }

  private Optional<TableStore.Row> read(String key) {
    return PlatformFixture.get(store.read("t", key));
  }

  @ParameterizedTest
  @CsvSource({"plain", "with/slash", "with space", "ü%2F+?&#"})
  void storesUnderKeysOfAnyCharacters(String key) {
    assertThat(read(key)).isEmpty();
    assertThat(PlatformFixture.get(put(key, Transaction.ABSENT, "a")))
        .isEqualTo(new TransactionResult.Committed(List.of(1L)));
    assertThat(read(key)).contains(new TableStore.Row(key, 1, TextNode.valueOf("a")));
    assertThat(PlatformFixture.get(store.scan("t", key, "", 10))).hasSize(1);
  }

  @Test
  void scansPagesInKeyOrder() {
    for (String key : List.of("b2", "a1", "b1", "b3", "c")) {
      PlatformFixture.get(put(key, Transaction.ABSENT, key));
    }
    assertThat(PlatformFixture.get(store.scan("t", "b", "", 2)))
        .extracting(TableStore.Row::key)
        .containsExactly("b1", "b2");
    assertThat(PlatformFixture.get(store.scan("t", "b", "b2", 2)))
        .extracting(TableStore.Row::key)
        .containsExactly("b3");
  }

  /** The row has version 2; -1 stands for {@link Transaction#ANY}. */
  @ParameterizedTest
  @CsvSource({"2, true", "-1, true", "0, false", "1, false", "3, false"})
  void putsAreConditional(long expected, boolean committed) {
    PlatformFixture.get(put("k", Transaction.ABSENT, "a"));
    PlatformFixture.get(put("k", 1, "b"));
    TransactionResult result = PlatformFixture.get(put("k", expected, "c"));
    assertThat(result)
        .isEqualTo(
            committed
                ? new TransactionResult.Committed(List.of(3L))
                : new TransactionResult.Conflict(
                    List.of(new TransactionResult.ConflictingRow("t", "k", 2))));
  }

  @Test
  void failedCheckLeavesAllRowsUnchanged() {
    PlatformFixture.get(put("guard", Transaction.ABSENT, "a"));
    Transaction transaction =
        Transaction.builder("t")
            .check("t", "guard", 7)
            .put("t", "k", Transaction.ABSENT, VALUE)
            .delete("t", "guard", Transaction.ANY)
            .build();
    assertThat(PlatformFixture.get(store.transact(transaction)))
        .isInstanceOf(TransactionResult.Conflict.class);
    assertThat(read("k")).isEmpty();
    assertThat(read("guard")).isPresent();
  }

  @Test
  void recreatedRowContinuesTheVersionsOfTheDeletedRow() {
    PlatformFixture.get(put("k", Transaction.ABSENT, "a"));
    PlatformFixture.get(store.transact(Transaction.builder("t").delete("t", "k", 1).build()));
    assertThat(read("k")).isEmpty();
    assertThat(PlatformFixture.get(put("k", Transaction.ABSENT, "b")))
        .isEqualTo(new TransactionResult.Committed(List.of(3L)));
  }

  @ParameterizedTest
  @CsvSource({
    "REFUSED, NOT_RUN, false",
    "OUTAGE, UNKNOWN, false",
    "LOST_ANSWER, UNKNOWN, true",
    "REORDERED, UNKNOWN, true",
    "CUT_OFF, UNKNOWN, true",
    "TRUNCATED, UNKNOWN, true",
    "MALFORMED, UNKNOWN, true",
    "OVERSIZED, UNKNOWN, true",
    "STALLED, UNKNOWN, true",
  })
  void failedWriteSaysWhetherItMayHaveTakenEffect(
      FaultKind kind, ExecutionOutcome outcome, boolean tookEffect) {
    fixture.platform.faults().add(PlatformFixture.singleFault(kind, "/transactions"));
    SycamoreException failure = PlatformFixture.failure(put("k", Transaction.ABSENT, "a"));
    assertThat(failure.code()).isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
    assertThat(failure.outcome()).isEqualTo(outcome);
    assertThat(read("k").isPresent()).isEqualTo(tookEffect);
  }

  @Test
  void writeThatTimesOutHasUnknownOutcome() {
    fixture.platform.faults().add(PlatformFixture.singleFault(FaultKind.SLOW, "/transactions"));
    assertThat(PlatformFixture.failure(put("k", Transaction.ABSENT, "a")).outcome())
        .isEqualTo(ExecutionOutcome.UNKNOWN);
  }

  @Test
  void writeToAnUnreachablePlatformIsNotRun() {
    fixture.platform.close();
    assertThat(PlatformFixture.failure(put("k", Transaction.ABSENT, "a")).outcome())
        .isEqualTo(ExecutionOutcome.NOT_RUN);
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
        "TRUNCATED",
        "MALFORMED",
        "OVERSIZED",
        "STALLED"
      })
  void failedReadIsNotReportedAsAMissingRow(FaultKind kind) {
    PlatformFixture.get(put("k", Transaction.ABSENT, "a"));
    fixture.platform.faults().add(PlatformFixture.singleFault(kind, "/tables"));
    assertThat(PlatformFixture.failure(store.read("t", "k")).code())
        .isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
    fixture.platform.faults().add(PlatformFixture.singleFault(kind, "/tables"));
    assertThat(PlatformFixture.failure(store.scan("t", "", "", 10)).code())
        .isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
  }

  @Test
  void writeAfterAStaleReadConflicts() {
    PlatformFixture.get(put("k", Transaction.ABSENT, "a"));
    assertThat(read("k").orElseThrow().version()).isEqualTo(1);
    PlatformFixture.get(put("k", 1, "b"));
    fixture.platform.faults().add(PlatformFixture.singleFault(FaultKind.STALE, "/tables"));
    long staleVersion = read("k").orElseThrow().version();
    assertThat(staleVersion).isEqualTo(1);
    assertThat(PlatformFixture.get(put("k", staleVersion, "c")))
        .isInstanceOf(TransactionResult.Conflict.class);
  }

  @Test
  void reorderedResponsesReachTheirOwnCallers() {
    TableStore storeWithLongTimeout =
        new HttpTableStore(fixture.client, fixture.platform.address(), 5_000);
    fixture
        .platform
        .faults()
        .add(PlatformFixture.singleFault(FaultKind.REORDERED, "/transactions"));
    PlatformFixture.get(put("other", Transaction.ANY, "x").exceptionally(failure -> null));
    fixture.platform.faults().add(PlatformFixture.singleFault(FaultKind.REORDERED, "/tables"));
    CompletionStage<Optional<TableStore.Row>> delayedRead = storeWithLongTimeout.read("t", "other");
    assertThat(PlatformFixture.get(storeWithLongTimeout.read("t", "missing"))).isEmpty();
    assertThat(PlatformFixture.get(delayedRead).orElseThrow().key()).isEqualTo("other");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          200 | {"committed": false, "conflicts": []}
          409 | {"committed": true, "versions": [1]}
          200 | {"committed": true, "versions": []}
          200 | {"committed": true, "versions": ["1"]}
          200 | {"committed": true}
          200 | {"committed": "yes", "versions": [1]}
          409 | {"committed": false}
          200 | {"committed": true, "versions": [1]} {}
          200 | []
          200 | ''
          500 | {"committed": true, "versions": [1]}
          204 | {"committed": true, "versions": [1]}
          """)
  void invalidResponsesHaveUnknownOutcome(int status, String body) {
    try (HttpServer server = fixture.serve(exchange -> exchange.respond(response(status, body)))) {
      Transaction transaction =
          Transaction.builder("t").put("t", "k", Transaction.ABSENT, VALUE).build();
      assertThat(PlatformFixture.failure(storeAt(server.address()).transact(transaction)).outcome())
          .isEqualTo(ExecutionOutcome.UNKNOWN);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          {"key": "other", "version": 1, "value": 1}
          {"key": "k", "version": 0, "value": 1}
          {"key": "k", "version": 1.5, "value": 1}
          {"key": "k", "version": 1, "value": null}
          {"key": "k", "version": 1}
          {"rows": [{"key": "b", "version": 1, "value": 1}, {"key": "a", "version": 1, "value": 1}]}
          {"rows": [{"key": "b", "version": 1, "value": 1}, {"key": "b", "version": 1, "value": 1}]}
          {"rows": {}}
          """)
  void invalidRowsAreRejected(String body) {
    try (HttpServer server = fixture.serve(exchange -> exchange.respond(response(200, body)))) {
      PlatformFixture.failure(storeAt(server.address()).read("t", "k"));
      PlatformFixture.failure(storeAt(server.address()).scan("t", "", "", 10));
    }
  }

  private static HttpResponse response(int status, String body) {
    return new HttpResponse(status, Map.of(), body.getBytes(StandardCharsets.UTF_8));
  }
}
