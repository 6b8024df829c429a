package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.VersionSpan;
import org.sycamoretrack.daemon.client.JsonFields;
import org.sycamoretrack.transport.process.Json;

/** Encodes lists of samples for the object store and decodes them. */
final class SampleJournalCodec {
  private SampleJournalCodec() {}

  static byte[] write(List<Sample> samples) {
    ObjectNode body = Json.object();
    ArrayNode array = body.putArray("samples");
    for (Sample sample : samples) {
      ObjectNode node =
          array
              .addObject()
              .put("slot", sample.slot())
              .put("text", sample.text())
              .put("tokens", sample.tokens())
              .put("finishReason", sample.finishReason())
              .put("attempt", sample.attempt())
              .put("score", sample.score());
      ArrayNode spans = node.putArray("spans");
      for (VersionSpan span : sample.spans()) {
        spans
            .addObject()
            .put("version", span.version())
            .put("fromToken", span.fromToken())
            .put("toToken", span.toToken());
      }
    }
    return Json.toBytes(body);
  }

  /**
   * Decodes a list of samples.
   *
   * @throws IllegalArgumentException if the bytes are malformed
   */
  static List<Sample> read(byte[] bytes) {
    List<Sample> samples = new ArrayList<>();
    for (JsonNode node : JsonFields.requireArray(Json.parse(bytes), "samples")) {
      samples.add(
          new Sample(
              JsonFields.requireInt(node, "slot"),
              JsonFields.requireText(node, "text"),
              JsonFields.requireInt(node, "tokens"),
              JsonFields.requireText(node, "finishReason"),
              JsonFields.requireInt(node, "attempt"),
              node.hasNonNull("score") ? JsonFields.requireDouble(node, "score") : null,
              readSpans(node)));
    }
    return samples;
  }

  private static List<VersionSpan> readSpans(JsonNode node) {
    List<VersionSpan> spans = new ArrayList<>();
    for (JsonNode span : JsonFields.requireArray(node, "spans")) {
      spans.add(
          new VersionSpan(
              JsonFields.requireLong(span, "version"),
              JsonFields.requireInt(span, "fromToken"),
              JsonFields.requireInt(span, "toToken")));
    }
    return spans;
  }
}
