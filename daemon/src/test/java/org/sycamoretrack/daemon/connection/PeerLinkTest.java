package org.sycamoretrack.daemon.connection;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.transport.connection.EventLoops;

/**
 * Tests links over real sockets, with well-behaved peers and with one that violates the protocol.
 */
class PeerLinkTest {
  private static final int TIMEOUT_MS = 10_000;

  private final EventLoopGroup group = EventLoops.start("test", 2);
  private final List<PeerLink> links = new ArrayList<>();

  @AfterEach
  void stop() {
    links.forEach(PeerLink::close);
    EventLoops.stop(group);
  }

  @SuppressWarnings("ArrayRecordComponent")
  private record TestMessage(long seq, byte[] payload) implements PeerMessage {
    static TestMessage read(FieldReader in) {
      return new TestMessage(in.integer("seq"), in.bytes("payload"));
    }

    @Override
    public String type() {
      return "test.note";
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("seq", seq).bytes("payload", payload);
    }
  }

  /** The link of a node, with the messages and events that it received. */
  private final class Node {
    final BlockingQueue<TestMessage> messages = new LinkedBlockingQueue<>();
    final BlockingQueue<String> connected = new LinkedBlockingQueue<>();
    final BlockingQueue<String> disconnected = new LinkedBlockingQueue<>();
    final PeerLink link;

    Node(String nodeId, String key, int port) {
      link =
          PeerLink.builder()
              .group(group)
              .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
              .identity(() -> new PeerIdentity(nodeId, "svea-a", "svealand", 1, "127.0.0.1:1"))
              .key(key == null || key.isEmpty() ? null : key.getBytes(UTF_8))
              .maxFrameBytes(100_000)
              .start();
      link.onMessage("test.note", TestMessage::read, (from, message) -> messages.add(message));
      link.onConnected(peer -> connected.add(peer.nodeId()));
      link.onDisconnected(disconnected::add);
      links.add(link);
    }
  }

  private static <T> T take(BlockingQueue<T> queue) throws InterruptedException {
    return queue.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  @Test
  void messagesArriveInOrderOnce() throws InterruptedException {
    Node a = new Node("a", "secret", 0);
    Node b = new Node("b", "secret", 0);
    a.link.dial(b.link.address());
    assertThat(take(a.connected)).isEqualTo("b");

    int count = 20_000;
    for (int seq = 0; seq < count; seq++) {
      while (!a.link.send("b", new TestMessage(seq, new byte[100]))) {
        Thread.onSpinWait();
      }
    }

    for (int seq = 0; seq < count; seq++) {
      assertThat(take(b.messages).seq()).isEqualTo(seq);
    }
    assertThat(b.link.send("a", new TestMessage(1, null))).as("b did not dial a").isFalse();
  }

  @Test
  void receiverOfAMessageThatCannotBeSentIsDisconnected() throws InterruptedException {
    Node a = new Node("a", null, 0);
    Node b = new Node("b", null, 0);
    a.link.dial(b.link.address());
    assertThat(take(a.connected)).isEqualTo("b");
    assertThat(a.link.send("b", new TestMessage(1, null))).isTrue();
    assertThat(take(b.messages).seq()).isEqualTo(1);

    b.link.sendOrDisconnect("a", new TestMessage(2, null));

    assertThat(take(a.disconnected)).isEqualTo("b");
  }

  @Test
  void aNodeDoesNotConnectToItself() throws InterruptedException {
    Node a = new Node("a", null, 0);
    Node b = new Node("b", null, 0);
    a.link.dial(a.link.address());
    a.link.dial(b.link.address());

    assertThat(take(a.connected)).isEqualTo("b");
    while (a.link.dialled().contains(a.link.address())) {
      Thread.onSpinWait();
    }
    assertThat(a.link.connectedPeers()).containsExactly("b");
  }

  @Test
  void reconnectsAfterThePeerRestarts() throws InterruptedException {
    Node a = new Node("a", null, 0);
    Node b = new Node("b", null, 0);
    int port = b.link.address().getPort();
    a.link.dial(b.link.address());
    assertThat(take(a.connected)).isEqualTo("b");

    b.link.close();
    assertThat(take(a.disconnected)).isEqualTo("b");
    assertThat(a.link.connectedPeers()).isEmpty();
    new Node("b", null, port);

    assertThat(take(a.connected)).isEqualTo("b");
    assertThat(a.link.send("b", new TestMessage(1, null))).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"one,two", "one,", ",two"})
  void refusesAPeerWithoutTheSharedKey(String keyOfA, String keyOfB) throws InterruptedException {
    Node a = new Node("a", keyOfA, 0);
    Node b = new Node("b", keyOfB, 0);
    a.link.dial(b.link.address());

    while (a.link.stats().proofsRefused() + b.link.stats().proofsRefused() == 0) {
      Thread.onSpinWait();
    }
    assertThat(a.connected).isEmpty();
    assertThat(a.link.send("b", new TestMessage(1, null))).isFalse();
  }

  @ParameterizedTest
  @CsvSource({
    "7fffffff00, a length over every limit",
    "00002000, a length over the limit of the handshake",
    "00000003c1c1c1, not MessagePack",
    "00000001c0, not a map",
    "0000000681a22474a162, a message before the handshake",
  })
  void closesAConnectionWithAMalformedFrame(String hex, String description) throws IOException {
    Node a = new Node("a", null, 0);
    try (Socket socket = new Socket(a.link.address().getAddress(), a.link.address().getPort())) {
      socket.setSoTimeout(TIMEOUT_MS);
      OutputStream out = socket.getOutputStream();
      out.write(java.util.HexFormat.of().parseHex(hex));
      out.flush();
      DataInputStream in = new DataInputStream(socket.getInputStream());
      in.readNBytes(in.readInt());
      assertThat(in.read()).as(description).isEqualTo(-1);
    }
    assertThat(a.link.stats().malformedFrames()).isEqualTo(1);
  }

  @Test
  void anOversizedFrameBreaksTheConnectionAndIsCounted() throws InterruptedException {
    Node a = new Node("a", null, 0);
    Node b = new Node("b", null, 0);
    a.link.dial(b.link.address());
    assertThat(take(a.connected)).isEqualTo("b");

    assertThat(a.link.send("b", new TestMessage(1, new byte[100_001]))).isTrue();

    assertThat(take(a.disconnected)).isEqualTo("b");
    assertThat(b.link.stats().malformedFrames()).isEqualTo(1);
    assertThat(take(a.connected)).as("a dials again").isEqualTo("b");
  }

  @Test
  void serverThatNeverRespondsTimesOutAndIsDialledAgain() throws IOException {
    Node a = new Node("a", null, 0);
    try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      silent.setSoTimeout(TIMEOUT_MS);
      a.link.dial((InetSocketAddress) silent.getLocalSocketAddress());
      try (Socket first = silent.accept();
          Socket second = silent.accept()) {
        assertThat(first.getInputStream().read()).as("closed by a").isEqualTo(-1);
        assertThat(second.isConnected()).isTrue();
      }
    }
    assertThat(a.link.stats().connectionsTimedOut()).isEqualTo(1);
  }
}
