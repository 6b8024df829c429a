package org.sycamoretrack.standins.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.sycamoretrack.transport.process.Json;

/** The streams that an engine has run, newest last, in bounded memory. Thread-safe. */
public final class EngineJournal {
  private static final int CAPACITY = 50_000;
  private static final int MAX_PROMPT_CHARS = 200;

  /** Tokens that were made by one version without interruption. */
  private record Span(int version, int fromToken, int toToken) {}

  /** One stream. */
  public static final class Entry {
    private final long seq;
    private final CompletionRequest request;
    private final long startedAtMs = System.currentTimeMillis();
    private final List<Span> spans = new ArrayList<>(1);
    private long endedAtMs;
    private String outcome = "running";

    private Entry(long seq, CompletionRequest request) {
      this.seq = seq;
      this.request = request;
    }

    /**
     * Adds tokens to the record.
     *
     * @param version the weight version that made them
     * @param tokens their number
     */
    public synchronized void addTokens(int version, int tokens) {
      Span last = spans.isEmpty() ? null : spans.getLast();
      int from = last == null ? request.continueTokens() : last.toToken();
      if (last != null && last.version() == version) {
        spans.set(spans.size() - 1, new Span(version, last.fromToken(), from + tokens));
      } else if (tokens > 0) {
        spans.add(new Span(version, from, from + tokens));
      }
    }

    /**
     * Ends the record; only the first call counts.
     *
     * @param how {@code finished}, {@code cancelled} or {@code crashed}
     */
    public synchronized void end(String how) {
      if (endedAtMs == 0) {
        outcome = how;
        endedAtMs = System.currentTimeMillis();
      }
    }

    private synchronized ObjectNode toJson() {
      String prompt = request.prompt();
      ObjectNode json =
          Json.object()
              .put("seq", seq)
              .put("requestId", request.requestId())
              .put("prompt", prompt.substring(0, Math.min(MAX_PROMPT_CHARS, prompt.length())))
              .put("seed", request.seed())
              .put("startedAtMs", startedAtMs)
              .put("endedAtMs", endedAtMs)
              .put("outcome", outcome);
      return json.set("spans", Json.mapper().valueToTree(spans));
    }
  }

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long nextSeq = 1;

  /** Creates an empty journal. */
  public EngineJournal() {}

  /**
   * Records the start of a stream.
   *
   * @param request what was asked
   * @return its entry
   */
  public synchronized Entry begin(CompletionRequest request) {
    Entry entry = new Entry(nextSeq++, request);
    entries.addLast(entry);
    if (entries.size() > CAPACITY) {
      entries.removeFirst();
    }
    return entry;
  }

  /** Returns the number of streams so far. */
  public synchronized long count() {
    return nextSeq - 1;
  }

  /**
   * Returns entries as JSON.
   *
   * @param afterSeq only those with a higher number
   */
  public synchronized ArrayNode toJson(long afterSeq) {
    ArrayNode json = Json.mapper().createArrayNode();
    entries.stream().filter(entry -> entry.seq > afterSeq).forEach(e -> json.add(e.toJson()));
    return json;
  }
}
