package org.sycamoretrack.cli.process;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the command line against nodes with a control plane, on a simulated platform. */
class SycamoretrackTest {
  private static final String RESOURCES =
      """
      {"resources": [
        {"kind": "tracks", "name": "cut", "spec": {"trainerGroup": "fyllnad"}},
        {"kind": "trainer-groups", "name": "fyllnad",
         "spec": {"poolSelector": {"matchLabels": {"site": "svea"}}}},
        {"kind": "endpoints", "name": "m-1",
         "spec": {"pool": "m", "address": "127.0.0.1", "port": 9, "zone": "svea-a"}},
        {"kind": "endpoints", "name": "m-2",
         "spec": {"pool": "m", "address": "127.0.0.1", "port": 9, "zone": "svea-b"}},
        {"kind": "pools", "name": "m", "labels": {"site": "svea"},
         "spec": {"type": "model", "model": "m"}}
      ]}
      """;

  private final OperatorFixture fixture = new OperatorFixture();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path directory;

  @BeforeEach
  void start() throws IOException {
    fixture.start("svea-a-1");
    fixture.start("svea-b-1");
    write("token", OperatorFixture.token() + "\n");
    write("context.json", fixture.context("token"));
    write("resources.json", RESOURCES);
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  private Path write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  private ExitCode run(String... arguments) {
    out.reset();
    err.reset();
    List<String> all = new ArrayList<>();
    for (String argument : arguments) {
      all.add(
          argument.startsWith("@")
              ? directory.resolve(argument.substring(1)).toString()
              : argument);
    }
    if (!all.contains("--context")) {
      all.add("--context");
      all.add(directory.resolve("context.json").toString());
    }
    return Sycamoretrack.run(
        all.toArray(new String[0]),
        new PrintStream(out, true, UTF_8),
        new PrintStream(err, true, UTF_8));
  }

  private String output() {
    return out.toString(UTF_8);
  }

  private void assertErrorLine(String... parts) {
    assertThat(err.toString(UTF_8)).startsWith("error ").contains("(hint: ").contains(parts);
    assertThat(err.toString(UTF_8).strip()).doesNotContain("\n");
  }

  @Test
  void applyCreatesInOrderAndWaitsUntilAllNodesHaveIt() {
    assertThat(run("apply", "-f", "@resources.json", "--wait")).isEqualTo(ExitCode.OK);
    assertThat(output())
        .contains("pools/m created at version 1", "tracks/cut created at version 5")
        .contains("version 5 is in force on all 2 nodes");
    assertThat(fixture.configurations.values())
        .allMatch(configuration -> configuration.current().version() == 5);

    assertThat(run("apply", "-f", "@resources.json")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("pools/m unchanged at version 1").doesNotContain("changed at 6");
  }

  @Test
  void diffShowsWhatApplyWouldChange() throws IOException {
    run("apply", "-f", "@resources.json");
    assertThat(run("diff", "-f", "@resources.json")).isEqualTo(ExitCode.OK);
    assertThat(output()).isEmpty();
    write("resources.json", RESOURCES.replace("\"site\": \"svea\"", "\"site\": \"galle\""));

    assertThat(run("diff", "-f", "@resources.json")).isEqualTo(ExitCode.DIFFERENT);
    assertThat(output()).contains("~ pools/m at version 1", "/labels/site: \"svea\" -> \"galle\"");
    assertThat(run("apply", "-f", "@resources.json")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("pools/m changed", "endpoints/m-1 unchanged");
  }

  @Test
  void conflictShowsBothVersions() throws IOException {
    run("apply", "-f", "@resources.json");
    String old =
        "{\"kind\":\"pools\",\"name\":\"m\",\"version\":77,\"spec\":{\"type\":\"service\"}}";
    write("old.json", old);
    assertThat(run("apply", "-f", "@old.json")).isEqualTo(ExitCode.CONFLICT);
    assertErrorLine(
        "version-conflict", "pools/m is at version 1", "for version 77", "\"model\":\"m\"");
    assertThat(run("delete", "tracks", "cut", "--if-version", "1")).isEqualTo(ExitCode.CONFLICT);
    assertErrorLine("version-conflict", "tracks/cut is at version 5");
  }

  @Test
  void validateReportsAllErrorsAndChangesNothing() throws IOException {
    assertThat(run("validate", "-f", "@resources.json")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("5 resources are valid");
    write("wrong.json", RESOURCES.replace("fyllnad\"}", "x\", \"y\": 1}").replace(": 9", ": 0"));
    assertThat(run("validate", "-f", "@wrong.json")).isEqualTo(ExitCode.FAILED);
    assertErrorLine("invalid-request", "/spec/port", "/spec: ");
    assertThat(run("get", "pools")).isEqualTo(ExitCode.OK);
    assertThat(output()).doesNotContain("svea");
  }

  @Test
  void getAndDelete() {
    run("apply", "-f", "@resources.json");
    assertThat(run("get", "endpoints", "--selector", "zone=svea-b")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("m-2").doesNotContain("m-1");
    assertThat(run("get", "pools", "m", "--output", "json")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("\"model\" : \"m\"");

    assertThat(run("delete", "pools", "m")).isEqualTo(ExitCode.FAILED);
    assertErrorLine("endpoints/m-1");
    assertThat(run("delete", "tracks", "cut", "--wait")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("tracks/cut removed at version 6", "in force on all 2 nodes");
    assertThat(run("get", "tracks", "cut")).isEqualTo(ExitCode.FAILED);
    assertErrorLine("not-found");
  }

  @Test
  void drainWaitsForWorkInFlightAndUndrainEndsIt() {
    run("apply", "-f", "@resources.json");
    assertThat(run("drain", "--selector", "zone=svea-a", "--wait")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("drains [m-1]", "in force on all 2 nodes", "drained [m-1]");
    assertThat(fixture.configurations.get("svea-b-1").current().drainedEndpoints())
        .containsExactly("m-1");

    assertThat(run("drain", "--selector", "zone=svea-b", "--wait", "--timeout-s", "1"))
        .isEqualTo(ExitCode.INCOMPLETE);
    assertThat(output()).contains("work in flight on [m-2]");

    assertThat(run("undrain", "--selector", "zone=svea-a", "--wait")).isEqualTo(ExitCode.OK);
    assertThat(run("undrain", "--selector", "zone=svea-b", "--wait")).isEqualTo(ExitCode.OK);
    assertThat(fixture.configurations.get("svea-b-1").current().drainedEndpoints()).isEmpty();
  }

  @Test
  void waitListsUnreachableNodes() throws IOException {
    write(
        "more.json",
        fixture.context("token").replace("\"nodes\":{", "\"nodes\":{\"gone\":\"127.0.0.1:1\","));
    assertThat(
            run(
                "apply",
                "-f",
                "@resources.json",
                "--wait",
                "--timeout-s",
                "1",
                "--context",
                "@more.json"))
        .isEqualTo(ExitCode.INCOMPLETE);
    assertThat(output()).contains("gone can't be reached");
  }

  @Test
  void readOnlyCommandsShowNodeState() {
    run("apply", "-f", "@resources.json", "--wait");
    assertThat(run("status")).isEqualTo(ExitCode.OK);
    assertThat(output()).containsPattern("svea-a-1 +5 +held +1 +2 ").contains("svea-b-1");
    assertThat(run("tracks")).isEqualTo(ExitCode.OK);
    assertThat(output()).containsPattern("cut +fyllnad +1 +- +1.0 +5");
    assertThat(run("steps")).isEqualTo(ExitCode.OK);
    assertThat(output()).containsPattern("cut +12 +svea-a-1 +512");
    assertThat(run("dump", "svea-a-1")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("\"configurationVersion\" : 5");
    assertThat(run("watch", "--count", "2", "--period-ms", "1")).isEqualTo(ExitCode.OK);
    assertThat(output()).containsOnlyOnce("svea-a-1  version=5");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "frobnicate                          | USAGE  | invalid-request",
        "get                                 | USAGE  | invalid-request",
        "get a b c                           | USAGE  | invalid-request",
        "get pools --output yaml             | USAGE  | invalid-request",
        "get trucks                          | FAILED | not-found",
        "get pools --selector zone           | USAGE  | invalid-request",
        "get pools --selector {}x            | USAGE  | invalid-request",
        "apply                               | USAGE  | invalid-request",
        "apply -f /nonexistent/file          | USAGE  | invalid-request",
        "undrain                             | USAGE  | invalid-request",
        "undrain none                        | FAILED | not-found",
        "delete pools                        | USAGE  | invalid-request",
        "dump nobody                         | USAGE  | invalid-request",
        "status --context /nonexistent/file  | USAGE  | invalid-request",
      })
  void errorsAreOneLineWithCodeAndHint(String line, ExitCode exitCode, String code) {
    assertThat(run(line.split(" +", -1))).isEqualTo(exitCode);
    assertErrorLine(code);
  }

  @Test
  void wrongTokenAndUnreachableNodesHaveDistinctCodes() throws IOException {
    write("token", "wrong");
    assertThat(run("get", "pools")).isEqualTo(ExitCode.FAILED);
    assertErrorLine("unauthenticated");
    write("context.json", "{\"nodes\": {\"gone\": \"127.0.0.1:1\"}, \"tokenFile\": null}");
    assertThat(run("get", "pools")).isEqualTo(ExitCode.UNREACHABLE);
    assertErrorLine("peer-unavailable");
    assertThat(run("dump", "gone")).isEqualTo(ExitCode.UNREACHABLE);
    assertThat(run("status")).isEqualTo(ExitCode.UNREACHABLE);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "apply",
        "get",
        "delete",
        "diff",
        "drain",
        "undrain",
        "tracks",
        "steps",
        "watch",
        "status",
        "dump",
        "validate"
      })
  void helpShowsExamples(String command) {
    assertThat(
            Sycamoretrack.run(
                new String[] {"help", command},
                new PrintStream(out, true, UTF_8),
                new PrintStream(err, true, UTF_8)))
        .isEqualTo(ExitCode.OK);
    assertThat(output()).contains("Examples:", "sycamoretrack " + command);
  }
}
