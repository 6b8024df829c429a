package org.sycamoretrack.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that every test that the proof pages name exists. */
class ProofsPageTest {
  private static final Path ROOT = Path.of(System.getProperty("project.root"));
  private static final Pattern PROOF = Pattern.compile("`(\\w+Test)#(\\w+)`");

  @ParameterizedTest
  @ValueSource(strings = {"docs/PROOFS.md", "docs/GUARANTEES.md"})
  void everyTestNamedOnThePageExists(String page) throws IOException {
    List<Path> sources = testSources();
    Matcher matcher = PROOF.matcher(Files.readString(ROOT.resolve(page)));
    int proofs = 0;
    while (matcher.find()) {
      String type = matcher.group(1);
      String method = matcher.group(2);
      assertThat(sources)
          .as(matcher.group())
          .anyMatch(file -> file.endsWith(type + ".java") && hasMethod(file, method));
      proofs++;
    }
    assertThat(proofs).isPositive();
  }

  private static List<Path> testSources() throws IOException {
    try (Stream<Path> modules = Files.list(ROOT)) {
      return modules
          .map(module -> module.resolve("src/test/java"))
          .filter(Files::isDirectory)
          .flatMap(ProofsPageTest::filesOf)
          .toList();
    }
  }

  private static Stream<Path> filesOf(Path directory) {
    try (Stream<Path> files = Files.walk(directory)) {
      return files.filter(Files::isRegularFile).toList().stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean hasMethod(Path file, String method) {
    try {
      return Pattern.compile("\\b" + method + "\\(").matcher(Files.readString(file)).find();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
