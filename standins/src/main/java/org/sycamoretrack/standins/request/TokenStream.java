package org.sycamoretrack.standins.request;

import java.nio.charset.StandardCharsets;
import org.sycamoretrack.transport.request.HttpResponseStream;

/** A completion that an engine streams to a client. Confined to the engine's event loop. */
public final class TokenStream {
  private static final String DONE = "data: [DONE]\n\n";

  private final String requestId;
  private final String prompt;
  private final SimulatedCompletion completion;
  private final HttpResponseStream stream;
  private final int endToken;
  private final boolean stopsByItself;
  private final EngineJournal.Entry entry;
  private int nextToken;
  private long readyNs;
  private boolean ended;

  /**
   * Creates a stream.
   *
   * @param request the request
   * @param completion the text to stream
   * @param stream the HTTP response stream
   * @param entry the entry in the engine's journal
   */
  public TokenStream(
      CompletionRequest request,
      SimulatedCompletion completion,
      HttpResponseStream stream,
      EngineJournal.Entry entry) {
    this.requestId = request.requestId();
    this.prompt = request.prompt();
    this.completion = completion;
    this.stream = stream;
    this.entry = entry;
    this.endToken = Math.min(request.maxTokens(), completion.naturalTokens());
    this.stopsByItself = completion.naturalTokens() <= request.maxTokens();
    this.nextToken = request.continueTokens();
  }

  /** Returns the id of the request. */
  public String requestId() {
    return requestId;
  }

  /** Returns the prompt. */
  public String prompt() {
    return prompt;
  }

  /** Returns the entry in the engine's journal. */
  public EngineJournal.Entry entry() {
    return entry;
  }

  /**
   * Sets the time at which the prefill is complete.
   *
   * @param readyNs a time of {@link System#nanoTime}
   */
  public void setReadyNs(long readyNs) {
    this.readyNs = readyNs;
  }

  /**
   * Returns whether the prefill is complete and the connection is writable.
   *
   * @param nowNs the current time of {@link System#nanoTime}
   */
  public boolean isReady(long nowNs) {
    return nowNs - readyNs >= 0 && stream.isWritable();
  }

  /** Returns whether the stream has ended or was aborted. */
  public boolean isEnded() {
    return ended;
  }

  /**
   * Sends the next chunk, and ends the stream after the last one.
   *
   * @param maxTokens maximum number of tokens in the chunk
   * @param version the weight version that generates the chunk
   * @return the number of tokens sent
   */
  public int emit(int maxTokens, int version) {
    int chunkEnd = Math.min(endToken, nextToken + maxTokens);
    int tokens = Math.max(0, chunkEnd - nextToken);
    boolean last = nextToken + tokens >= endToken;
    StringBuilder chunk = new StringBuilder(96 + 5 * tokens);
    chunk.append("data: {\"choices\":[{\"index\":0,\"text\":\"");
    completion.append(nextToken, nextToken + tokens, chunk);
    chunk.append("\",\"finish_reason\":").append(finishReason(last));
    chunk.append("}],\"tokens\":").append(tokens);
    chunk.append(",\"weight_version\":").append(version).append("}\n\n");
    if (last) {
      chunk.append(DONE);
    }
    entry.addTokens(version, tokens);
    nextToken += tokens;
    stream.write(chunk.toString().getBytes(StandardCharsets.ISO_8859_1));
    if (last) {
      ended = true;
      stream.end();
    }
    return tokens;
  }

  private String finishReason(boolean last) {
    if (!last) {
      return "null";
    }
    return stopsByItself ? "\"stop\"" : "\"length\"";
  }

  /** Aborts the stream unless it has ended. */
  public void abort() {
    if (!ended) {
      ended = true;
      stream.abort();
    }
  }
}
