package org.sycamoretrack.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.transport.process.Json;

/** Tests of {@link SettingsReader}: every error names its field. */
class SettingsReaderTest {
  private static final String VALID =
      """
      {"nodeId": "svea-a-1", "zone": "svea-a", "callerAddress": "127.0.0.1:0",
       "trainerAddress": "127.0.0.1:0", "operatorAddress": "127.0.0.1:0",
       "peerAddress": "127.0.0.1:7101", "peers": ["127.0.0.1:7102"],
       "platform": {"table": "127.0.0.1:1", "objects": "127.0.0.1:2", "hosts": "127.0.0.1:3",
                    "weights": "127.0.0.1:4"},
       "limits": {"trafficThreads": 3}}
      """;

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void readsValidSettingsAndFillsInDefaults() {
    NodeSettings settings = SettingsReader.parse(bytes(VALID));
    assertThat(settings.nodeId()).isEqualTo("svea-a-1");
    assertThat(settings.peers()).hasSize(1);
    assertThat(settings.platform().hosts().getPort()).isEqualTo(3);
    assertThat(settings.limits().trafficThreads()).isEqualTo(3);
    assertThat(settings.limits().connectTimeoutMs()).isEqualTo(1_000);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          /nodeId            | "Not A Name"     | /nodeId
          /zone              | 7                | /zone
          /callerAddress     | "localhost:80"   | /callerAddress
          /callerAddress     | "10.0.0.999:80"  | 10.0.0.999:80
          /platform          | {}               | /platform
          /limits            | {"connectTimeoutMs": 1}   | /limits/connectTimeoutMs
          /limits            | {"connectTimeoutMs": 1.5} | /limits/connectTimeoutMs
          /limits            | {"oops": 1}      | oops
          /unknown           | true             | unknown
          /peers             | ["x"]            | /peers/0
          """)
  void errorNamesTheInvalidField(String pointer, String value, String named) {
    ObjectNode json = (ObjectNode) Json.parse(bytes(VALID));
    json.set(pointer.substring(1), Json.parse(bytes(value)));
    assertThatThrownBy(() -> SettingsReader.parse(Json.toBytes(json)))
        .isInstanceOfSatisfying(
            SycamoreException.class,
            error -> assertThat(error.code()).isEqualTo(ErrorCode.INVALID_REQUEST))
        .hasMessageContaining(named);
  }

  @Test
  void reportsAllErrorsAtOnce() {
    ObjectNode json = (ObjectNode) Json.parse(bytes(VALID));
    json.put("zone", 7).put("nodeId", "").remove("platform");
    assertThatThrownBy(() -> SettingsReader.parse(Json.toBytes(json)))
        .hasMessageContaining("/zone")
        .hasMessageContaining("/nodeId")
        .hasMessageContaining("platform");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"''", "[]", "{", "{} {}", "null"})
  void rejectsInputThatIsNotAnObject(String text) {
    assertThatThrownBy(() -> SettingsReader.parse(bytes(text)))
        .isInstanceOf(SycamoreException.class);
  }
}
