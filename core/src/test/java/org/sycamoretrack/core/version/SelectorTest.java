package org.sycamoretrack.core.version;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.version.ResourceSpec.DrainSpec;
import org.sycamoretrack.core.version.ResourceSpec.EndpointSpec;
import org.sycamoretrack.core.version.ResourceSpec.PoolSpec;
import org.sycamoretrack.core.version.ResourceSpec.TrackSpec;
import org.sycamoretrack.core.version.ResourceSpec.TrainerGroupSpec;
import org.sycamoretrack.core.version.Selector.Operator;
import org.sycamoretrack.core.version.Selector.Requirement;

/**
 * Tests of {@link Selector} and of how {@link Configuration} evaluates selectors and references.
 */
class SelectorTest {
  private static Map<String, String> labels(String text) {
    Map<String, String> labels = new TreeMap<>();
    for (String pair : text.split(" ", -1)) {
      if (!pair.isEmpty()) {
        labels.put(pair.split("=", -1)[0], pair.split("=", -1)[1]);
      }
    }
    return labels;
  }

  private static Selector selector(String text) {
    Map<String, String> matchLabels = new TreeMap<>();
    List<Requirement> requirements = new ArrayList<>();
    for (String token : text.split(" ", -1)) {
      if (token.contains("=")) {
        matchLabels.putAll(labels(token));
      } else if (!token.isEmpty()) {
        String[] fields = token.split(":", -1);
        Set<String> values =
            fields.length < 3 ? Set.of() : Set.copyOf(Arrays.asList(fields[2].split(";", -1)));
        requirements.add(new Requirement(fields[0], operator(fields[1]), values));
      }
    }
    return new Selector(matchLabels, requirements);
  }

  private static Operator operator(String wireName) {
    return Arrays.stream(Operator.values())
        .filter(operator -> operator.wireName().equals(wireName))
        .findFirst()
        .orElseThrow();
  }

  @ParameterizedTest
  @CsvSource({
    "'', '', true",
    "'', 'a=1', true",
    "'a=1', 'a=1 b=2', true",
    "'a=1 b=2', 'a=1', false",
    "'a=1', 'a=2', false",
    "'a=1', '', false",
    "'a:In:1;2', 'a=2', true",
    "'a:In:1;2', 'a=3', false",
    "'a:In:1;2', '', false",
    "'a:NotIn:1;2', 'a=3', true",
    "'a:NotIn:1;2', 'a=1', false",
    "'a:NotIn:1;2', '', true",
    "'a:Exists', 'a=1', true",
    "'a:Exists', 'b=1', false",
    "'a:DoesNotExist', 'b=1', true",
    "'a:DoesNotExist', 'a=1', false",
    "'a=1 b:In:2 c:DoesNotExist', 'a=1 b=2', true",
    "'a=1 b:In:2 c:DoesNotExist', 'a=1 b=2 c=3', false",
    "'a:Exists a:NotIn:1', 'a=1', false",
  })
  void matches(String selector, String labels, boolean expected) {
    assertThat(selector(selector).matches(labels(labels))).isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({"IN, ''", "NOT_IN, ''", "EXISTS, a", "DOES_NOT_EXIST, a"})
  void valuesMustSuitTheOperator(Operator operator, String value) {
    Set<String> values = value.isEmpty() ? Set.of() : Set.of(value);
    assertThatIllegalArgumentException().isThrownBy(() -> new Requirement("key", operator, values));
  }

  private static Resource resource(String name, String labels, ResourceSpec spec) {
    return new Resource(name, labels(labels), 1, spec);
  }

  private static Configuration configuration() {
    return new Configuration(
        1,
        List.of(
            resource("modellhall", "site=svea", new PoolSpec(PoolType.MODEL, "m", true, 0.5)),
            resource("coach-lm", "site=galle", new PoolSpec(PoolType.MODEL, "c", true, 0.5)),
            resource("orderdisk", "site=svea", new PoolSpec(PoolType.SERVICE, null, false, 0.5)),
            resource("fyllnad", "", new TrainerGroupSpec(selector("site=svea"))),
            resource("all", "", new TrainerGroupSpec(Selector.EVERYTHING)),
            resource("cut", "", new TrackSpec("fyllnad", 1, null, 1)),
            resource("m-1", "rack=1", new EndpointSpec("modellhall", "10.0.0.1", 80, "svea-a")),
            resource("m-2", "rack=2", new EndpointSpec("modellhall", "10.0.0.2", 80, "svea-b")),
            resource("c-1", "rack=1", new EndpointSpec("coach-lm", "10.0.0.3", 80, "galle-fort"))));
  }

  @Test
  void poolSelectorsDetermineThePoolsOfATrainerGroup() {
    Configuration configuration = configuration();
    assertThat(configuration.poolsOf("fyllnad")).containsExactly("modellhall");
    assertThat(configuration.poolsOf("all")).containsExactly("coach-lm", "modellhall");
    assertThat(configuration.poolsOf("none")).isEmpty();
    assertThat(configuration.endpointsOf("modellhall")).containsOnlyKeys("m-1", "m-2");
  }

  @ParameterizedTest
  @CsvSource({
    "'zone=svea-a', m-1",
    "'pool=modellhall', m-1 m-2",
    "'name=c-1', c-1",
    "'rack=1', c-1 m-1",
    "'pool=modellhall rack:NotIn:1', m-2",
    "'zone=nowhere', ''",
  })
  void drainsMatchImpliedLabels(String selector, String expected) {
    Resource drain = resource("d", "", new DrainSpec(ResourceKind.ENDPOINTS, selector(selector)));
    assertThat(String.join(" ", configuration().with(2, drain).drainedEndpoints()))
        .isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({
    "TRAINER_GROUPS, fyllnad, tracks/cut",
    "POOLS, coach-lm, endpoints/c-1",
    "POOLS, orderdisk, ''",
  })
  void referrersAreFound(ResourceKind kind, String name, String expected) {
    assertThat(configuration().referrers(new ResourceKey(kind, name)))
        .map(ResourceKey::toString)
        .isEqualTo(expected.isEmpty() ? List.of() : List.of(expected));
  }

  @Test
  void allMissingReferencesAreReportedAtOnce() {
    Resource track = resource("t", "", new TrackSpec("nobody", 1, "nothing", 1));
    assertThat(configuration().checkReferences(track))
        .map(ValidationError::pointer)
        .containsExactly("/spec/trainerGroup", "/spec/scorer");
  }
}
