package org.sycamoretrack.standins.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.transport.request.HttpException;

/** Tests of {@link ServiceStandin}. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class ServiceStandinTest {
  private final ServiceStandin service = ServiceStandin.start(0, 0);
  private final StandinClient client = new StandinClient();

  @AfterEach
  void stop() {
    client.close();
    service.close();
  }

  @Test
  void executionWithLostResponseIsInJournal() {
    service.faults().add(Fault.builder(FaultKind.LOST_ANSWER).method("POST").build());
    assertThatThrownBy(() -> client.call("POST", service.address(), "/bookings", "{}"))
        .hasCauseInstanceOf(HttpException.class);
    JsonNode executions = client.get(service.address(), "/executions").path("executions");
    assertThat(executions).hasSize(1);
    assertThat(executions.at("/0/path").asText()).isEqualTo("/bookings");
  }

  @Test
  void scoreDependsOnTextOnly() {
    JsonNode first = client.call("POST", service.address(), "/score", "{'text':'a b'}").json();
    assertThat(first.path("score").asDouble()).isEqualTo(ServiceStandin.score("a b"));
  }

  @ParameterizedTest
  @CsvSource({"0, 200", "1, 500"})
  void unscorableTextsGetAnErrorEachTime(double share, int status) {
    service.setUnscorableShare(share);
    for (int i = 0; i < 3; i++) {
      assertThat(client.call("POST", service.address(), "/score", "{'text':'a b'}").status())
          .isEqualTo(status);
    }
  }
}
