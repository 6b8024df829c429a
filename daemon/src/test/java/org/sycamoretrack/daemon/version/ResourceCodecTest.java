package org.sycamoretrack.daemon.version;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.transport.process.Json;

/**
 * Tests of {@link ResourceCodec}. They guard against invalid resources that are accepted, valid
 * ones that are rejected or changed by a round trip, and JSON that fails with an unexpected
 * exception.
 */
class ResourceCodecTest {
  private static JsonNode json(String text) {
    return Json.parse(text.replace('\'', '"').getBytes(UTF_8));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'kind':'tracks','name':'t','spec':{'trainerGroup':'g'}}",
        "{'kind':'tracks','name':'t','spec':{'trainerGroup':'g','scorer':null,'share':0.5}}",
        "{'kind':'trainer-groups','name':'g','spec':{'poolSelector':{}}}",
        "{'kind':'pools','name':'p','labels':{'site':'svea'},'spec':{'type':'model','model':'m'}}",
        "{'kind':'pools','name':'p','spec':{'type':'service'}}",
        "{'kind':'endpoints','name':'e','spec':"
            + "{'pool':'p','address':'10.0.0.255','port':80,'zone':'svea-a'}}",
        "{'kind':'services','name':'s','spec':{'pool':'p','repeatableMethods':[]}}",
        "{'kind':'drains','name':'d','spec':{'selector':{'matchExpressions':"
            + "[{'key':'zone','operator':'In','values':['svea-a']},"
            + "{'key':'rack','operator':'Exists'}]}}}",
      })
  void roundTripsValidResources(String text) {
    Resource resource = ResourceCodec.parse(json(text));
    JsonNode written = ResourceCodec.write(resource);
    assertThat(ResourceCodec.parse(written)).isEqualTo(resource);
    assertThat(ResourceCodec.read(written)).isEqualTo(resource);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'kind':'trucks','name':'t','spec':{}} | /kind",
        "{'name':'t','spec':{}} | /kind",
        "{'kind':'tracks','name':'t'} | /",
        "{'kind':'tracks','name':'-t','spec':{'trainerGroup':'g'}} | /name",
        "{'kind':'tracks','name':'t','spec':{}} | /spec",
        "{'kind':'tracks','name':'t','extra':1,'spec':{'trainerGroup':'g'}} | /",
        "{'kind':'tracks','name':'t','spec':{'trainerGroup':'g','maxVersionLag':-1}}"
            + " | /spec/maxVersionLag",
        "{'kind':'tracks','name':'t','spec':{'trainerGroup':'g','share':0}} | /spec/share",
        "{'kind':'tracks','name':'t','labels':{'a':1},'spec':{'trainerGroup':'g'}} | /labels/a",
        "{'kind':'pools','name':'p','spec':{'type':'model'}} | /spec",
        "{'kind':'pools','name':'p','spec':{'type':'service','floorShare':2}} | /spec/floorShare",
        "{'kind':'endpoints','name':'e','spec':{'pool':'p','address':'h','port':80,'zone':'z'}}"
            + " | /spec/address",
        "{'kind':'endpoints','name':'e','spec':"
            + "{'pool':'p','address':'10.0.0.256','port':80,'zone':'z'}} | /spec/address",
        "{'kind':'endpoints','name':'e','spec':"
            + "{'pool':'p','address':'10.0.0.1','port':0,'zone':'z'}} | /spec/port",
        "{'kind':'drains','name':'d','spec':{'selector':{'matchLabel':{}}}} | /spec/selector",
        "{'kind':'drains','name':'d','spec':{'selector':{'matchExpressions':"
            + "[{'key':'a','operator':'In'}]}}} | /spec/selector/matchExpressions/0",
        "{'kind':'drains','name':'d','spec':{'selector':{'matchExpressions':"
            + "[{'key':'a','operator':'Exists','values':['b']}]}}}"
            + " | /spec/selector/matchExpressions/0/values",
      })
  void rejectsInvalidFieldsWithAPointer(String text, String pointer) {
    SycamoreException refusal =
        catchThrowableOfType(SycamoreException.class, () -> ResourceCodec.parse(json(text)));
    assertThat(refusal).isNotNull();
    assertThat(refusal.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
    assertThat(refusal.getMessage()).contains(pointer + ": ");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'kind':'endpoints','name':'e','spec':{'address':'h','port':0}}"
            + " | /spec/address: , /spec/port: , pool, zone",
      })
  void reportsAllErrorsAtOnce(String text, String expected) {
    SycamoreException refusal =
        catchThrowableOfType(SycamoreException.class, () -> ResourceCodec.parse(json(text)));
    for (String part : expected.split(",", -1)) {
      assertThat(refusal.getMessage()).contains(part.strip());
    }
  }

  @Provide
  Arbitrary<JsonNode> anyJson() {
    Arbitrary<JsonNode> leaf =
        Arbitraries.of(
                "null",
                "true",
                "0",
                "-1",
                "1e99",
                "[]",
                "{}",
                "'tracks'",
                "'drains'",
                "'In'",
                "''",
                "'10.0.0.1'",
                "'model'",
                "'\\u0000'")
            .map(ResourceCodecTest::json);
    Arbitrary<String> field =
        Arbitraries.of(
            "kind",
            "name",
            "labels",
            "version",
            "spec",
            "selector",
            "matchLabels",
            "matchExpressions",
            "key",
            "operator",
            "values",
            "type",
            "pool",
            "port",
            "x");
    return Arbitraries.recursive(
        () -> leaf,
        inner ->
            net.jqwik.api.Combinators.combine(inner.list().ofMaxSize(4), field.list().ofSize(4))
                .as(ResourceCodecTest::combine),
        0,
        4);
  }

  private static JsonNode combine(List<JsonNode> values, List<String> fields) {
    if (values.size() == 3) {
      ArrayNode array = Json.mapper().createArrayNode();
      values.forEach(array::add);
      return array;
    }
    ObjectNode object = Json.object();
    for (int i = 0; i < values.size(); i++) {
      object.set(fields.get(i), values.get(i));
    }
    return object;
  }

  @Property(tries = 2_000, seed = "4711")
  void anyJsonIsAcceptedOrRejectedWithACode(@ForAll("anyJson") JsonNode json) {
    SycamoreException resourceRefusal =
        catchThrowableOfType(SycamoreException.class, () -> ResourceCodec.parse(json));
    SycamoreException selectorRefusal =
        catchThrowableOfType(SycamoreException.class, () -> ResourceCodec.parseSelector(json));
    assertThat(resourceRefusal == null || resourceRefusal.code() == ErrorCode.INVALID_REQUEST)
        .isTrue();
    assertThat(selectorRefusal == null || selectorRefusal.code() == ErrorCode.INVALID_REQUEST)
        .isTrue();
  }

  @Property(tries = 1_000, seed = "4711")
  void anySpecOfAKnownKindIsAcceptedOrRejectedWithACode(@ForAll("anyJson") JsonNode spec) {
    for (String kind : List.of("tracks", "trainer-groups", "pools", "endpoints", "drains")) {
      ObjectNode resource = Json.object().put("kind", kind).put("name", "n");
      resource.set("spec", spec);
      SycamoreException refusal =
          catchThrowableOfType(SycamoreException.class, () -> ResourceCodec.parse(resource));
      assertThat(refusal == null || refusal.code() == ErrorCode.INVALID_REQUEST).isTrue();
    }
  }
}
