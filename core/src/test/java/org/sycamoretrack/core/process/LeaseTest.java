package org.sycamoretrack.core.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link Lease} and {@link LeaseWatch} with scripted results and times. */
class LeaseTest {
  private static final LeaseTimings TIMINGS = new LeaseTimings(100, 20, 30, 5);

  private static final String HELD_SCRIPT = "row:none@0 w:1@5 at@30";

  private final Lease lease = new Lease(TIMINGS, "me");

  /**
   * Runs steps of the form {@code result@time}. Each step requests the next command at the time of
   * the previous step and applies its result at its own time; {@code at} only sets the time.
   */
  private void run(String script) {
    long sentMs = 0;
    String steps = script.replace("held0", "row:none@0 w:1@5").replace("held", HELD_SCRIPT);
    for (String step : steps.trim().split(" +", -1)) {
      String[] parts = step.split("@", -1);
      long nowMs = Long.parseLong(parts[1]);
      String[] result = parts[0].split(":", -1);
      if (result[0].equals("at")) {
        sentMs = nowMs;
        continue;
      }
      Lease.Command command = lease.next(sentMs);
      apply(command, result, nowMs);
      sentMs = nowMs;
    }
  }

  private void apply(Lease.Command command, String[] result, long nowMs) {
    switch (result[0]) {
      case "wait" -> assertThat(command).isInstanceOf(Lease.Command.Wait.class);
      case "row", "r" -> {
        assertThat(command).isInstanceOf(Lease.Command.Read.class);
        lease.onRead(row(result), nowMs);
      }
      case "unread" -> {
        assertThat(command).isInstanceOf(Lease.Command.Read.class);
        lease.onReadFailed(nowMs);
      }
      default -> {
        assertThat(command).isInstanceOf(Lease.Command.Write.class);
        applyWrite(result, nowMs);
      }
    }
  }

  private void applyWrite(String[] result, long nowMs) {
    switch (result[0]) {
      case "written", "w" -> lease.onWritten(Long.parseLong(result[1]));
      case "refused" -> lease.onRefused(nowMs);
      case "unsettled", "u" -> lease.onOutcomeUnknown(nowMs);
      default -> throw new IllegalArgumentException(result[0]);
    }
  }

  /**
   * Parses {@code row:none} or {@code row:version:epoch:incarnation:sequence[:x]}, where x marks a
   * released lease.
   */
  private static Lease.Row row(String[] parts) {
    if (parts[1].equals("none")) {
      return Lease.Row.NONE;
    }
    return new Lease.Row(
        Long.parseLong(parts[1]),
        Long.parseLong(parts[2]),
        parts[3],
        Long.parseLong(parts[4]),
        parts.length > 5);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          valid from before sending | r:none@10 w:1@60 | 89 | true | 1
          stops a margin early | r:none@10 w:1@60 | 90 | false | 1
          response after expiry | r:none@10 w:1@200 | 200 | false | 1
          renewed | held w:2@70 | 109 | true | 1
          renewal expires | held w:2@70 | 110 | false | 1
          not due for renewal | held0 at@29 wait@29 | 30 | true | 1
          acquisition refused | r:none@0 refused@10 | 10 | false | 0
          renewal refused | held refused@31 | 79 | true | 1
          renewal refused, expired | held refused@31 | 80 | false | 1
          response lost, written | held u@40 r:2:1:me:2@50 | 109 | true | 1
          response lost, not written | held u@40 r:1:1:me:1@50 | 79 | true | 1
          response lost, expired | held u@40 r:1:1:me:1@50 | 80 | false | 1
          response lost, renewed | held u@40 r:1:1:me:1@50 w:2@55 | 129 | true | 1
          response lost, read failed | held u@40 unread@50 | 79 | true | 1
          taken over | held u@31 r:2:2:other:1@32 | 33 | false | 0
          expired during pause | held0 at@500 u@501 r:2:1:me:1:x@502 | 502 | false | 0
          reacquired | held0 at@500 u@501 r:2:1:me:1:x@502 w:3@503 | 503 | true | 2
          acquisition response lost | r:none@0 u@40 r:1:1:me:1@50 | 79 | true | 1
          held by another | r:7:3:other:5@0 wait@4 | 4 | false | 0
          other's expired | r:7:3:other:5@0 at@120 r:7:3:other:5@121 at@130 w:8@131 | 131 | true | 4
          other's new| r:7:3:other:5@0 at@119 r:8:3:other:6@121 at@200 r:8:3:other:6@201|201|false|0
          outage|r:7:3:o:5@0 at@9 unread@10 at@200 r:7:3:o:5@201 at@210 r:7:3:o:5@212|212|false|0
          other's released | r:7:3:other:5:x@0 w:8@1 | 1 | true | 4
          """)
  void holds(String name, String script, long atMs, boolean holds, long epoch) {
    run(script);
    assertThat(lease.holds(atMs)).as(name).isEqualTo(holds);
    assertThat(lease.epoch()).as(name).isEqualTo(epoch);
  }

  @Test
  void releaseTakesEffectAtOnceAndIsWritten() {
    run("row:none@0 written:1@5");
    lease.release();
    assertThat(lease.holds(6)).isFalse();
    assertThat(lease.isReleased()).isFalse();
    assertThat(lease.next(6))
        .isEqualTo(new Lease.Command.Write(new Lease.Row(1, 1, "me", 2, true)));
    lease.onOutcomeUnknown(7);
    run("at@7 row:2:1:me:2:released@8");
    assertThat(lease.isReleased()).isTrue();
    assertThat(lease.next(9)).isInstanceOf(Lease.Command.Wait.class);
  }

  @Test
  void releaseOfALeaseThatAnotherHoldsNeedsNoWrite() {
    run("row:7:3:other:5@0");
    lease.release();
    assertThat(lease.isReleased()).isTrue();
  }

  /** Each row has version, send time and response time of two reads, then the expected result. */
  @ParameterizedTest
  @CsvSource({
    "7, 0, 10, 7, 110, 111, true",
    "7, 0, 10, 7, 109, 300, false",
    "7, 0, 10, 8, 300, 301, false",
    "0, 0, 0, 0, 100, 100, true",
  })
  void watchMeasuresFromAResponseToALaterRequest(
      long version1,
      long sent1,
      long received1,
      long version2,
      long sent2,
      long received2,
      boolean expired) {
    LeaseWatch watch = new LeaseWatch(100);
    assertThat(watch.isExpired()).isFalse();
    watch.onRead(version1, sent1, received1);
    watch.onRead(version2, sent2, received2);
    assertThat(watch.isExpired()).isEqualTo(expired);
  }

  @Test
  void watchGivesALiveOwnerTimeToRenewAfterAStoreOutage() {
    LeaseWatch watch = new LeaseWatch(100, 30);
    watch.onRead(7, 0, 10);
    watch.onReadFailed();
    watch.onRead(7, 500, 510);
    assertThat(watch.isExpired()).isFalse();
    watch.onRead(7, 540, 541);
    assertThat(watch.isExpired()).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"100, 20, 80, 5", "100, 20, 30, 0", "100, -1, 30, 5", "100, 20, 3, 5"})
  void inconsistentTimesAreRejected(long ttlMs, long marginMs, long renewMs, long retryMs) {
    assertThatThrownBy(() -> new LeaseTimings(ttlMs, marginMs, renewMs, retryMs))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
