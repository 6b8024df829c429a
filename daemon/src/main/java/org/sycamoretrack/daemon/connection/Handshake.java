package org.sycamoretrack.daemon.connection;

/**
 * The messages that establish a connection and keep it alive.
 *
 * <p>The dialler is the node that opens the connection, the acceptor the one that accepts it. The
 * acceptor sends a {@link Challenge}, the dialler responds with a {@link Hello} and the acceptor
 * with a {@link Welcome}. Each side proves that it has the shared key by an HMAC over both nonces.
 * Then the dialler sends a {@link Heartbeat} at regular intervals and the acceptor responds with a
 * {@link HeartbeatAck}.
 */
sealed interface Handshake extends PeerMessage {

  /**
   * Registers the decoders of all handshake messages.
   *
   * @param codec the codec of the link
   */
  static void register(PeerCodec codec) {
    codec.register(Challenge.TYPE, Challenge::read);
    codec.register(Hello.TYPE, Hello::read);
    codec.register(Welcome.TYPE, Welcome::read);
    codec.register(Heartbeat.TYPE, Heartbeat::read);
    codec.register(HeartbeatAck.TYPE, fields -> new HeartbeatAck());
  }

  private static void writeIdentity(PeerIdentity identity, FieldWriter out) {
    out.string("nodeId", identity.nodeId())
        .string("zone", identity.zone())
        .string("region", identity.region())
        .integer("epoch", identity.epoch())
        .string("address", identity.address());
  }

  private static PeerIdentity readIdentity(FieldReader in) {
    return new PeerIdentity(
        in.string("nodeId"),
        in.string("zone"),
        in.string("region", ""),
        in.integer("epoch"),
        in.string("address"));
  }

  /**
   * The acceptor's first message.
   *
   * @param nonce random bytes that the dialler's proof must cover
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Challenge(byte[] nonce) implements Handshake {
    static final String TYPE = "link.challenge";

    static Challenge read(FieldReader in) {
      return new Challenge(in.bytes("nonce"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.bytes("nonce", nonce);
    }
  }

  /**
   * The dialler's response to the challenge.
   *
   * @param identity the identity of the dialler
   * @param nonce random bytes that the acceptor's proof must cover
   * @param proof the dialler's proof
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Hello(PeerIdentity identity, byte[] nonce, byte[] proof) implements Handshake {
    static final String TYPE = "link.hello";

    static Hello read(FieldReader in) {
      return new Hello(readIdentity(in), in.bytes("nonce"), in.bytes("proof"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      writeIdentity(identity, out);
      out.bytes("nonce", nonce).bytes("proof", proof);
    }
  }

  /**
   * Completes the handshake; from now on the dialler may send messages.
   *
   * @param identity the identity of the acceptor
   * @param proof the acceptor's proof
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Welcome(PeerIdentity identity, byte[] proof) implements Handshake {
    static final String TYPE = "link.welcome";

    static Welcome read(FieldReader in) {
      return new Welcome(readIdentity(in), in.bytes("proof"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      writeIdentity(identity, out);
      out.bytes("proof", proof);
    }
  }

  /**
   * Shows that the dialler is alive.
   *
   * @param intervalMs the time until the next heartbeat, in milliseconds
   */
  record Heartbeat(long intervalMs) implements Handshake {
    static final String TYPE = "link.hb";

    static Heartbeat read(FieldReader in) {
      return new Heartbeat(in.integer("ms"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("ms", intervalMs);
    }
  }

  /** The acceptor's response to a heartbeat. */
  record HeartbeatAck() implements Handshake {
    static final String TYPE = "link.hb-ack";

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      // The message has no fields.
    }
  }
}
