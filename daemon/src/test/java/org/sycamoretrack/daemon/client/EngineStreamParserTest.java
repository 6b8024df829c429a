package org.sycamoretrack.daemon.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link EngineStreamParser} with streams that are split into parts at any position. */
class EngineStreamParserTest {
  private static final String WHOLE =
      """
      : a comment\r
      event: chunk
      data: {"choices":[{"index":0,"text":"ä \\"b\\" \\u00e9","finish_reason":null}],\
      "tokens":2,"weight_version":7,"later":{"a":[1,{}]}}

      data:{"tokens":1,"weight_version":8,"choices":[{"text":"","finish_reason":null}]}\r
      \r
      data: {"choices":[{"index":0,"text":"","finish_reason":"stop"}],"tokens":0}

      data: [DONE]

      """;
  private static final List<String> EVENTS =
      List.of("tokens ä \"b\" é 2 7", "tokens  1 8", "done stop");

  private final List<String> events = new ArrayList<>();
  private final EngineStreamParser parser =
      new EngineStreamParser(
          new EngineStreamParser.Sink() {
            @Override
            public void onTokens(String text, int tokens, long weightVersion) {
              events.add("tokens " + text + " " + tokens + " " + weightVersion);
            }

            @Override
            public void onDone(String finishReason) {
              events.add("done " + finishReason);
            }

            @Override
            public void onError(String message) {
              events.add("error");
            }
          });

  private void parse(byte[] bytes, int from, int to, boolean direct) {
    ByteBuf part = direct ? Unpooled.directBuffer(to - from) : Unpooled.buffer(to - from);
    part.writeBytes(bytes, from, to - from);
    parser.parse(part);
    part.release();
  }

  @Property(seed = "4711", tries = 300)
  void anySplitGivesTheSameEvents(
      @ForAll @Size(max = 12) List<@IntRange(max = 400) Integer> positions,
      @ForAll boolean direct) {
    events.clear();
    byte[] bytes = WHOLE.getBytes(StandardCharsets.UTF_8);
    EngineStreamParserTest fresh = new EngineStreamParserTest();
    int from = 0;
    for (int end : positions.stream().sorted().filter(end -> end < bytes.length).toList()) {
      fresh.parse(bytes, from, end, direct);
      from = end;
    }
    fresh.parse(bytes, from, bytes.length, direct);
    assertThat(fresh.events).isEqualTo(EVENTS);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "data: {",
        "data: []",
        "data: {} {}",
        "data: [DONE]",
        "data: ",
        "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":1}",
        "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":1,\"weight_version\":null}",
        "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":1,\"weight_version\":-1}",
        "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":1,\"weight_version\":1.5}",
        "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":1,\"weight_version\":\"1\"}",
        "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":1}",
        "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":-1,\"weight_version\":1}",
        "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":9999999999,\"weight_version\":1}",
        "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":99999999999999999999}",
        "data: {\"choices\":[{\"text\":1}],\"tokens\":1,\"weight_version\":1}",
        "data: {\"choices\":[],\"tokens\":1,\"weight_version\":1}",
        "data: {\"choices\":[{\"text\":\"a\"},{}],\"tokens\":1,\"weight_version\":1}",
        "data: {\"choices\":{},\"tokens\":1,\"weight_version\":1}",
        "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: {\"tokens\":0}",
        "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\ndata: [DONE]\ndata: {}",
      })
  void protocolViolationIsMalformed(String stream) {
    byte[] bytes = (stream + "\n\n").getBytes(StandardCharsets.UTF_8);
    EngineStreamParser.ProtocolException e =
        catchThrowableOfType(
            EngineStreamParser.ProtocolException.class, () -> parse(bytes, 0, bytes.length, false));
    assertThat(e).as(stream).isNotNull();
    assertThat(e.kind()).isEqualTo(EngineFailure.Kind.MALFORMED);
    List<String> before = List.copyOf(events);
    assertThat(before).doesNotContain("tokens a 1 1");
    byte[] whole = WHOLE.getBytes(StandardCharsets.UTF_8);
    parse(whole, 0, whole.length, false);
    assertThat(events).as("after the protocol violation").isEqualTo(before);
  }

  @Test
  void errorInTheStreamIsReported() {
    byte[] bytes = "data: {\"error\":{\"code\":\"broken\"}}\n\n".getBytes(StandardCharsets.UTF_8);
    parse(bytes, 0, bytes.length, false);
    assertThat(events).containsExactly("error");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lineOverTheLimitIsTooLarge(boolean inOnePart) {
    byte[] part = " ".repeat(1 << 16).getBytes(StandardCharsets.UTF_8);
    byte[] whole = (" ".repeat((1 << 20) + 1) + "\n").getBytes(StandardCharsets.UTF_8);
    EngineStreamParser.ProtocolException e =
        catchThrowableOfType(
            EngineStreamParser.ProtocolException.class,
            () -> {
              if (inOnePart) {
                parse(whole, 0, whole.length, false);
              }
              for (int i = 0; i < 17; i++) {
                parse(part, 0, part.length, true);
              }
            });
    assertThat(e.kind()).isEqualTo(EngineFailure.Kind.TOO_LARGE);
  }
}
