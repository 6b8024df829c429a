package org.sycamoretrack.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.connection.EjectionState;

/** Tests that {@link EndpointLoadCodec} decodes what it encodes and rejects malformed payloads. */
class EndpointLoadCodecTest {
  private static List<EndpointLoad> loads() {
    List<EndpointLoad> loads = new ArrayList<>();
    for (EjectionState state : EjectionState.values()) {
      loads.add(new EndpointLoad(("e" + state).hashCode(), 3, 64, 900, 8, 2_000, state, false, 7));
      loads.add(new EndpointLoad(-1, 0, 2, 1L << 40, 0, 0, state, true, 1L << 50));
    }
    return loads;
  }

  @Test
  void decodesWhatItEncodes() {
    assertThat(EndpointLoadCodec.decode(EndpointLoadCodec.encode(loads()))).isEqualTo(loads());
    assertThat(EndpointLoadCodec.decode(new byte[0])).isEmpty();
  }

  @Test
  void twelveEndpointsFitTheGossipPayload() {
    EndpointLoad load =
        new EndpointLoad(
            0x7654_3210, 64, 256, 50_000, 90_000, 22_000, EjectionState.IN_USE, false, 900);
    assertThat(EndpointLoadCodec.encode(java.util.Collections.nCopies(12, load)).length)
        .isLessThan(600);
  }

  @Test
  void rejectsEveryTruncation() {
    byte[] whole = EndpointLoadCodec.encode(loads());
    for (int length = 1; length < whole.length; length++) {
      byte[] truncated = Arrays.copyOf(whole, length);
      assertThatThrownBy(() -> EndpointLoadCodec.decode(truncated))
          .isInstanceOf(MalformedFrameException.class);
    }
  }

  @Property(tries = 2_000)
  void anyBytesAreDecodedOrRejected(@ForAll byte[] bytes) {
    try {
      EndpointLoadCodec.decode(bytes);
    } catch (MalformedFrameException e) {
      assertThat(e.getMessage()).isNotBlank();
    }
  }
}
