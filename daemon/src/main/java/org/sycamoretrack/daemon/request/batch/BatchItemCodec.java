package org.sycamoretrack.daemon.request.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.request.scoring.ScoreRequest;
import org.sycamoretrack.transport.process.Json;

/** Converts the items of a batch to the JSON that {@link BatchRowCodec} stores, and back. */
final class BatchItemCodec {
  private BatchItemCodec() {}

  /**
   * Encodes items.
   *
   * @param items the items of a batch, in the order of its submission
   */
  static byte[] encode(List<BatchItem> items) {
    ArrayNode array = Json.mapper().createArrayNode();
    for (BatchItem item : items) {
      ObjectNode node =
          array
              .addObject()
              .put("id", item.id())
              .put("path", item.path())
              .put("body", item.body())
              .put("model", item.model())
              .put("group", item.group())
              .put("lengthHint", item.lengthHint())
              .put("maxTokens", item.maxTokens());
      item.scoreRequest()
          .ifPresent(
              request ->
                  node.putObject("scorer")
                      .put("id", request.id())
                      .put("host", request.host())
                      .put("path", request.path())
                      .put("body", request.body()));
      item.headers().forEach(node.putObject("headers")::put);
    }
    return Json.toBytes(array);
  }

  /**
   * Decodes items.
   *
   * @param json the encoded items
   * @throws IllegalArgumentException if the JSON or the body of an item is malformed
   */
  static List<BatchItem> decode(byte[] json) {
    List<BatchItem> items = new ArrayList<>();
    for (JsonNode node : Json.parse(json)) {
      Map<String, String> headers = new TreeMap<>();
      node.path("headers")
          .properties()
          .forEach(header -> headers.put(header.getKey(), header.getValue().asText()));
      items.add(
          BatchItem.builder(items.size(), node.path("id").asText(), node.path("path").asText())
              .headers(headers)
              .body(bytes(node.path("body")))
              .model(node.path("model").asText())
              .group(node.path("group").asText())
              .lengthHint(node.path("lengthHint").asInt())
              .maxTokens(node.path("maxTokens").asInt())
              .scoreRequest(readScoreRequest(node.path("scorer")))
              .build());
    }
    return items;
  }

  private static ScoreRequest readScoreRequest(JsonNode node) {
    return node.isMissingNode()
        ? null
        : new ScoreRequest(
            node.path("id").asText(),
            node.path("host").asText(),
            node.path("path").asText(),
            bytes(node.path("body")));
  }

  private static byte[] bytes(JsonNode node) {
    try {
      return node.binaryValue() == null ? new byte[0] : node.binaryValue();
    } catch (IOException e) {
      throw new IllegalArgumentException("the body of an item is not valid base64", e);
    }
  }
}
