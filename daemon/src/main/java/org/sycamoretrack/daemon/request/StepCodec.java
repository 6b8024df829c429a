package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.sycamoretrack.core.request.GroupSpec;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.SlotBitmap;
import org.sycamoretrack.core.request.StepId;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.core.request.VersionSpan;
import org.sycamoretrack.transport.process.Json;

/** Decodes request bodies and encodes response bodies of the trainer port. */
final class StepCodec {
  private static final int MAX_WAIT_MS = 30_000;
  private static final int DEFAULT_MAX_SAMPLES = 256;
  private static final long MAX_VERSION = Long.MAX_VALUE;

  private StepCodec() {}

  /**
   * A trainer's poll for samples.
   *
   * @param received the slots whose samples the trainer has received
   * @param trainsVersion the weight version that is being trained
   * @param waitMs the maximum time to wait for a sample, in milliseconds
   * @param maxSamples the maximum number of samples in the response
   */
  record Poll(SlotBitmap received, long trainsVersion, int waitMs, int maxSamples) {}

  static StepSpec parseSpec(StepId id, byte[] body) {
    RequestBodyFields fields = RequestBodyFields.parse(body);
    List<GroupSpec> groups = new ArrayList<>();
    for (JsonNode node : fields.list("groups")) {
      RequestBodyFields group = RequestBodyFields.of(node, "groups/" + groups.size());
      groups.add(
          new GroupSpec(
              group.string("prompt"),
              (int) group.integer("samples", 1, StepSpec.MAX_SLOTS),
              group.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE, 0)));
    }
    long trainsVersion = fields.integer("trainsVersion", 0, MAX_VERSION);
    int maxTokens = (int) fields.integer("maxTokens", 1, StepSpec.MAX_TOKENS);
    return new StepSpec(id, trainsVersion, maxTokens, groups);
  }

  static Poll parsePoll(byte[] body, int slots) {
    RequestBodyFields fields = RequestBodyFields.parse(body);
    byte[] bitmap;
    try {
      bitmap = Base64.getDecoder().decode(fields.string("received", ""));
    } catch (IllegalArgumentException e) {
      throw RequestBodyFields.invalid("received must be base64");
    }
    return new Poll(
        SlotBitmap.ofBytes(bitmap, slots),
        fields.integer("trainsVersion", 0, MAX_VERSION),
        (int) fields.integer("waitMs", 0, MAX_WAIT_MS, 0),
        (int) fields.integer("maxSamples", 1, StepSpec.MAX_SLOTS, DEFAULT_MAX_SAMPLES));
  }

  static ObjectNode stepBody(StepSpec spec) {
    return Json.object()
        .put("track", spec.id().track())
        .put("step", spec.id().step())
        .put("slots", spec.slots());
  }

  static ObjectNode pollResponse(StepSpec spec, boolean complete, List<Sample> samples) {
    ObjectNode body = stepBody(spec).put("complete", complete);
    ArrayNode array = body.putArray("samples");
    samples.forEach(sample -> array.add(sample(spec, sample)));
    return body;
  }

  private static ObjectNode sample(StepSpec spec, Sample sample) {
    ObjectNode node =
        Json.object()
            .put("slot", sample.slot())
            .put("group", spec.groupOf(sample.slot()))
            .put("index", spec.indexOf(sample.slot()))
            .put("text", sample.text())
            .put("tokens", sample.tokens())
            .put("finishReason", sample.finishReason())
            .put("attempt", sample.attempt())
            .put("score", sample.score());
    node.set("spans", spans(sample.spans()));
    return node;
  }

  static ArrayNode spans(List<VersionSpan> spans) {
    ArrayNode array = Json.mapper().createArrayNode();
    for (VersionSpan span : spans) {
      array
          .addObject()
          .put("version", span.version())
          .put("fromToken", span.fromToken())
          .put("toToken", span.toToken());
    }
    return array;
  }
}
