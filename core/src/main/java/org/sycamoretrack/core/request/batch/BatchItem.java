package org.sycamoretrack.core.request.batch;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.sycamoretrack.core.request.scoring.ScoreRequest;

/** One request of a batch. Immutable; the body must not be modified. */
public final class BatchItem {
  /** The maximum length of a text whose maximum number of tokens is unknown. */
  public static final int MAX_TEXT_CHARS = 1 << 20;

  private static final int MAX_CHARS_PER_TOKEN = 256;
  private static final int MIN_TEXT_LIMIT_CHARS = 1 << 14;

  private final int index;
  private final String id;
  private final String path;
  private final Map<String, String> headers;
  private final byte[] body;
  private final String model;
  private final String group;
  private final int lengthHint;
  private final int maxTokens;
  private final ScoreRequest scoreRequest;

  private BatchItem(Builder builder) {
    this.index = builder.index;
    this.id = Objects.requireNonNull(builder.id, "id");
    this.path = Objects.requireNonNull(builder.path, "path");
    this.headers = Map.copyOf(builder.headers);
    this.body = builder.body;
    this.model = builder.model;
    this.group = builder.group;
    this.lengthHint = builder.lengthHint;
    this.maxTokens = builder.maxTokens;
    this.scoreRequest = builder.scoreRequest;
  }

  /**
   * Returns a builder.
   *
   * @param index the position of the item in the submission, from 0
   * @param id the id of the item, unique in the batch
   * @param path the path of the request
   */
  public static Builder builder(int index, String id, String path) {
    return new Builder(index, id, path);
  }

  /** Returns the position of the item in the submission, from 0. */
  public int index() {
    return index;
  }

  /** Returns the id, which is unique in the batch. */
  public String id() {
    return id;
  }

  /** Returns the path of the request. */
  public String path() {
    return path;
  }

  /** Returns the headers of the request. */
  public Map<String, String> headers() {
    return headers;
  }

  /** Returns the body of the request. */
  public byte[] body() {
    return body;
  }

  /** Returns the requested model, empty for none. */
  public String model() {
    return model;
  }

  /** Returns the name of the sample group, whose items share a prompt; empty for none. */
  public String group() {
    return group;
  }

  /** Returns the length of the response in tokens as estimated by the submitter, 0 if unknown. */
  public int lengthHint() {
    return lengthHint;
  }

  /** Returns the maximum number of tokens of the response, 0 if unknown. */
  public int maxTokens() {
    return maxTokens;
  }

  /** Returns the length that no text of this item can exceed, in characters. */
  public int maxTextChars() {
    return maxTokens <= 0
        ? MAX_TEXT_CHARS
        : (int)
            Math.min(MAX_TEXT_CHARS, MIN_TEXT_LIMIT_CHARS + (long) maxTokens * MAX_CHARS_PER_TOKEN);
  }

  /** Returns the request that scores the complete text, empty if the text needs no score. */
  public Optional<ScoreRequest> scoreRequest() {
    return Optional.ofNullable(scoreRequest);
  }

  /** Builds a {@link BatchItem}. */
  public static final class Builder {
    private static final byte[] NO_BODY = {};

    private final int index;
    private final String id;
    private final String path;
    private Map<String, String> headers = Map.of();
    private byte[] body = NO_BODY;
    private String model = "";
    private String group = "";
    private int lengthHint;
    private int maxTokens;
    private ScoreRequest scoreRequest;

    private Builder(int index, String id, String path) {
      this.index = index;
      this.id = id;
      this.path = path;
    }

    /** Sets the headers of the request. */
    public Builder headers(Map<String, String> value) {
      this.headers = value;
      return this;
    }

    /** Sets the body of the request. */
    public Builder body(byte[] value) {
      this.body = value;
      return this;
    }

    /** Sets the requested model. */
    public Builder model(String value) {
      this.model = value;
      return this;
    }

    /** Sets the name of the sample group. */
    public Builder group(String value) {
      this.group = value;
      return this;
    }

    /** Sets the estimated length of the response in tokens. */
    public Builder lengthHint(int value) {
      this.lengthHint = value;
      return this;
    }

    /** Sets the maximum number of tokens of the response, 0 if unknown. */
    public Builder maxTokens(int value) {
      this.maxTokens = value;
      return this;
    }

    /** Sets the request that scores the complete text; null if the text needs no score. */
    public Builder scoreRequest(ScoreRequest value) {
      this.scoreRequest = value;
      return this;
    }

    /** Returns the item. */
    public BatchItem build() {
      return new BatchItem(this);
    }
  }
}
