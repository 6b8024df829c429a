package org.sycamoretrack.daemon.connection;

/**
 * The messages that open a connection and keep it alive.
 *
 * <p>The acceptor speaks first: {@link Challenge}, then the dialler's {@link Hello}, then the
 * acceptor's {@link Welcome}. Each side proves that it has the shared key by a proof over both
 * nonces. After that the dialler sends a {@link Heartbeat} regularly and the acceptor answers with
 * a {@link HeartbeatAck}.
 */
sealed interface Handshake extends PeerMessage {

  /**
   * Registers the decoders of all handshake messages.
   *
   * @param codec where they are registered
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
   * The dialler's answer to the challenge.
   *
   * @param identity who dials
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
   * The acceptor's consent: from now on messages may flow.
   *
   * @param identity who was dialled
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
   * A sign of life from the dialler.
   *
   * @param intervalMs when the next one is to be expected
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

  /** The acceptor's answer to a heartbeat. */
  record HeartbeatAck() implements Handshake {
    static final String TYPE = "link.hb-ack";

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      // The type says it all.
    }
  }
}
