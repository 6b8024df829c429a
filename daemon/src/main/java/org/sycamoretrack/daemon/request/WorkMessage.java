package org.sycamoretrack.daemon.request;

import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.daemon.connection.FieldReader;
import org.sycamoretrack.daemon.connection.FieldWriter;
import org.sycamoretrack.daemon.connection.PeerMessage;

/**
 * The messages by which a node submits an attempt to the node that owns the endpoint.
 *
 * <p>An attempt consists of a {@link Submit}, any number of {@link Tokens} and one {@link Finished}
 * or {@link Failed}. Its id is assigned by the sender and unique among the sender's attempts.
 */
sealed interface WorkMessage extends PeerMessage {
  /** Returns the id of the attempt. */
  long id();

  /**
   * Requests an attempt.
   *
   * @param id the id of the attempt
   * @param endpoint the name of the endpoint
   * @param request the generation request; its deadline is transmitted as the remaining time
   */
  record Submit(long id, String endpoint, GenerationRequest request) implements WorkMessage {
    static final String TYPE = "work.submit";

    static Submit read(FieldReader fields) {
      long remainingMs = fields.integer("remainingMs");
      GenerationRequest request =
          GenerationRequest.builder(fields.string("request"))
              .pools(fields.strings("pools"))
              .prompt(fields.string("prompt"))
              .maxTokens(fields.int32("maxTokens"))
              .seed(fields.integer("seed"))
              .requestClass(requestClass(fields))
              .flow(fields.string("flow"))
              .deadlineNanos(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMs))
              .oldestVersion(fields.integer("oldestVersion"))
              .prior(fields.string("priorText", ""), (int) fields.integer("priorTokens", 0))
              .repeatable(fields.bool("repeatable"))
              .build();
      return new Submit(fields.integer("id"), fields.string("endpoint"), request);
    }

    private static RequestClass requestClass(FieldReader fields) {
      return fields.bool("rollout") ? RequestClass.ROLLOUT : RequestClass.INTERACTIVE;
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      long remainingNanos = request.deadlineNanos() - System.nanoTime();
      out.integer("id", id)
          .string("endpoint", endpoint)
          .string("request", request.id())
          .strings("pools", request.pools())
          .string("prompt", request.prompt())
          .integer("maxTokens", request.maxTokens())
          .integer("seed", request.seed())
          .bool("rollout", request.requestClass() == RequestClass.ROLLOUT)
          .string("flow", request.flow())
          .integer("remainingMs", Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingNanos)))
          .integer("oldestVersion", request.oldestVersion())
          .bool("repeatable", request.repeatable());
      if (request.priorTokens() > 0) {
        out.string("priorText", request.priorText()).integer("priorTokens", request.priorTokens());
      }
    }
  }

  /**
   * Delivers a chunk of generated text.
   *
   * @param id the id of the attempt
   * @param text the text of the tokens
   * @param tokens the number of tokens
   * @param version the weight version that generated the tokens
   */
  record Tokens(long id, String text, int tokens, long version) implements WorkMessage {
    static final String TYPE = "work.tokens";

    static Tokens read(FieldReader fields) {
      return new Tokens(
          fields.integer("id"),
          fields.string("text"),
          fields.int32("tokens"),
          fields.integer("version"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("id", id)
          .string("text", text)
          .integer("tokens", tokens)
          .integer("version", version);
    }
  }

  /**
   * Reports that generation has finished.
   *
   * @param id the id of the attempt
   * @param finishReason the reason why generation ended
   */
  record Finished(long id, String finishReason) implements WorkMessage {
    static final String TYPE = "work.finished";

    static Finished read(FieldReader fields) {
      return new Finished(fields.integer("id"), fields.string("finishReason"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("id", id).string("finishReason", finishReason);
    }
  }

  /**
   * Reports that the attempt has failed.
   *
   * @param id the id of the attempt
   * @param failure the failure
   */
  record Failed(long id, GenerationFailure failure) implements WorkMessage {
    static final String TYPE = "work.failed";

    static Failed read(FieldReader fields) {
      return new Failed(
          fields.integer("id"),
          new GenerationFailure(
              ErrorCode.ofWireName(fields.string("code")),
              ExecutionOutcome.ofWireName(fields.string("outcome")),
              fields.bool("crashed"),
              fields.string("message", "")));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("id", id)
          .string("code", failure.code().wireName())
          .string("outcome", failure.outcome().wireName())
          .bool("crashed", failure.endpointCrashed())
          .string("message", failure.message());
    }
  }

  /**
   * Cancels an attempt.
   *
   * @param id the id of the attempt
   */
  record Cancel(long id) implements WorkMessage {
    static final String TYPE = "work.cancel";

    static Cancel read(FieldReader fields) {
      return new Cancel(fields.integer("id"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("id", id);
    }
  }
}
