package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.request.ClaimBatch;
import org.sycamoretrack.core.request.ClaimEntry;
import org.sycamoretrack.core.request.RecordedResponse;
import org.sycamoretrack.daemon.client.JsonFields;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.client.Transaction;
import org.sycamoretrack.daemon.client.TransactionResult;
import org.sycamoretrack.transport.process.Json;

/**
 * Reads and writes the rows of the claim ledger.
 *
 * <p>Table {@code claim-ranges} has one row per key range, with its owner and epoch. Table {@code
 * claim-batches} has the batches under {@code range/number}. The number has 16 hexadecimal digits,
 * so that a scan returns the batches in order.
 */
final class ClaimTable {
  /** The table of range owners. */
  static final String RANGES = "claim-ranges";

  /** The table of the batches. */
  static final String BATCHES = "claim-batches";

  private static final String CLAIMED = "claimed";
  private static final String ANSWERED = "answered";
  private static final String RELEASED = "released";

  /**
   * The owner of a range.
   *
   * @param version the version of the row, 0 when there is none
   * @param nodeId the owner's node
   * @param writer the id of the owner's process
   * @param epoch the number of times that the range was acquired
   * @param released whether the owner released the range
   */
  record Owner(long version, String nodeId, String writer, long epoch, boolean released) {
    static final Owner NONE = new Owner(0, "", "", 0, true);
  }

  private final TableStore table;

  ClaimTable(TableStore table) {
    this.table = table;
  }

  CompletionStage<Owner> readOwner(String range) {
    return table
        .read(RANGES, range)
        .thenApply(row -> row.map(ClaimTable::toOwner).orElse(Owner.NONE));
  }

  /** Writes the owner if the row still has the version of the given owner. */
  CompletionStage<TransactionResult> writeOwner(String range, Owner owner) {
    ObjectNode value =
        Json.object()
            .put("nodeId", owner.nodeId())
            .put("writer", owner.writer())
            .put("epoch", owner.epoch())
            .put("released", owner.released());
    return table.transact(
        Transaction.builder("claim-owner/" + range + "/" + owner.epoch())
            .put(RANGES, range, owner.version(), value)
            .build());
  }

  /**
   * Writes a batch if the range still has its owner and the batch number is free.
   *
   * @param range the range
   * @param ownerVersion the version of the range's row
   * @param batch the batch
   * @param expired the numbers of the batches to delete in the same transaction
   */
  CompletionStage<TransactionResult> append(
      String range, long ownerVersion, ClaimBatch batch, List<Long> expired) {
    Transaction.Builder transaction =
        Transaction.builder("claim-batch/" + batchKey(range, batch.number()))
            .check(RANGES, range, ownerVersion)
            .put(BATCHES, batchKey(range, batch.number()), Transaction.ABSENT, toJson(batch));
    for (long number : expired) {
      transaction.delete(BATCHES, batchKey(range, number), Transaction.ANY);
    }
    return table.transact(transaction.build());
  }

  CompletionStage<Optional<ClaimBatch>> readBatch(String range, long number) {
    return table
        .read(BATCHES, batchKey(range, number))
        .thenApply(row -> row.map(ClaimTable::toBatch));
  }

  /**
   * Reads batches in order.
   *
   * @param range the range
   * @param after the number after which the scan starts, -1 to start with the first batch
   * @param limit the maximum number of batches; a shorter result means that there are no more
   */
  CompletionStage<List<ClaimBatch>> scanBatches(String range, long after, int limit) {
    String afterKey = after < 0 ? "" : batchKey(range, after);
    return table
        .scan(BATCHES, range + "/", afterKey, limit)
        .thenApply(rows -> rows.stream().map(ClaimTable::toBatch).toList());
  }

  private static String batchKey(String range, long number) {
    return "%s/%016x".formatted(range, number);
  }

  private static Owner toOwner(TableStore.Row row) {
    JsonNode value = row.value();
    return new Owner(
        row.version(),
        JsonFields.requireText(value, "nodeId"),
        JsonFields.requireText(value, "writer"),
        JsonFields.requireLong(value, "epoch"),
        JsonFields.requireBoolean(value, "released"));
  }

  private static ObjectNode toJson(ClaimBatch batch) {
    ObjectNode json =
        Json.object()
            .put("number", batch.number())
            .put("epoch", batch.epoch())
            .put("writer", batch.writer());
    ArrayNode entries = json.putArray("entries");
    for (ClaimEntry entry : batch.entries()) {
      ObjectNode node = entries.addObject().put("key", entry.key()).put("atMs", entry.atMs());
      switch (entry) {
        case ClaimEntry.Claimed claimed ->
            node.put("type", CLAIMED).put("fingerprint", claimed.fingerprint());
        case ClaimEntry.Answered answered -> {
          node.put("type", ANSWERED).put("fingerprint", answered.fingerprint());
          writeResponse(node, answered.response());
        }
        case ClaimEntry.Released released -> node.put("type", RELEASED);
      }
    }
    return json;
  }

  private static void writeResponse(ObjectNode node, RecordedResponse response) {
    node.put("status", response.status());
    ObjectNode headers = node.putObject("headers");
    response.headers().forEach(headers::put);
    if (response.isBodyKept()) {
      node.put("body", response.body());
    }
  }

  private static ClaimBatch toBatch(TableStore.Row row) {
    JsonNode value = row.value();
    List<ClaimEntry> entries = new ArrayList<>();
    for (JsonNode entry : JsonFields.requireArray(value, "entries")) {
      entries.add(toEntry(entry));
    }
    return new ClaimBatch(
        JsonFields.requireLong(value, "number"),
        JsonFields.requireLong(value, "epoch"),
        JsonFields.requireText(value, "writer"),
        entries);
  }

  private static ClaimEntry toEntry(JsonNode node) {
    String key = JsonFields.requireText(node, "key");
    long atMs = JsonFields.requireLong(node, "atMs");
    String type = JsonFields.requireText(node, "type");
    return switch (type) {
      case CLAIMED ->
          new ClaimEntry.Claimed(key, JsonFields.requireText(node, "fingerprint"), atMs);
      case ANSWERED ->
          new ClaimEntry.Answered(
              key, JsonFields.requireText(node, "fingerprint"), atMs, readResponse(node));
      case RELEASED -> new ClaimEntry.Released(key, atMs);
      default -> throw new IllegalArgumentException("unknown claim entry type " + type);
    };
  }

  private static RecordedResponse readResponse(JsonNode node) {
    int status = JsonFields.requireInt(node, "status");
    Map<String, String> headers = new HashMap<>();
    for (Map.Entry<String, JsonNode> header : node.path("headers").properties()) {
      headers.put(header.getKey(), header.getValue().asText());
    }
    if (!node.has("body")) {
      return RecordedResponse.withoutBody(status, headers);
    }
    try {
      return RecordedResponse.of(status, headers, node.get("body").binaryValue());
    } catch (IOException e) {
      throw new IllegalArgumentException("the body of a recorded response is not valid base64", e);
    }
  }
}
