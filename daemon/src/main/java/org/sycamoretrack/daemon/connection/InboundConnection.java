package org.sycamoretrack.daemon.connection;

/**
 * A connection that a peer opened. It carries the messages of the peer; this node sends only
 * handshake messages and heartbeat responses on it.
 */
final class InboundConnection extends PeerConnection {
  private static final int MAX_SILENT_INTERVALS = 3;

  private byte[] nonce;
  private volatile PeerIdentity peer;
  private volatile long timeoutMs = PeerLink.HANDSHAKE_TIMEOUT_MS;

  InboundConnection(PeerLink link) {
    super(link);
  }

  /** Closes the connection when nothing was received within the timeout. */
  void closeIfSilent() {
    if (silentMs() > timeoutMs) {
      link.stats().connectionsTimedOut.increment();
      close();
    }
  }

  @Override
  void onOpen() {
    link.onInboundOpen(this);
    nonce = link.authenticator().newNonce();
    write(new Handshake.Challenge(nonce));
  }

  @Override
  void onMessage(PeerMessage message) {
    switch (message) {
      case Handshake.Hello hello when peer == null -> onHello(hello);
      case Handshake.Heartbeat heartbeat when peer != null -> onHeartbeat(heartbeat);
      case Handshake other ->
          throw new MalformedFrameException("unexpected " + other.type() + " from a dialler");
      default -> {
        if (peer == null) {
          throw new MalformedFrameException("a message arrived before the end of the handshake");
        }
        link.dispatch(peer.nodeId(), message);
      }
    }
  }

  private void onHello(Handshake.Hello hello) {
    if (!link.authenticator()
        .verify(
            PeerAuthenticator.Role.DIALLER,
            nonce,
            hello.nonce(),
            hello.identity(),
            hello.proof())) {
      link.stats().proofsRefused.increment();
      close();
      return;
    }
    PeerIdentity self = link.identity();
    byte[] proof =
        link.authenticator()
            .createProof(PeerAuthenticator.Role.ACCEPTOR, nonce, hello.nonce(), self);
    write(new Handshake.Welcome(self, proof));
    if (hello.identity().nodeId().equals(self.nodeId())) {
      return;
    }
    timeoutMs = MAX_SILENT_INTERVALS * PeerLink.HEARTBEAT_MS;
    completeHandshake();
    peer = hello.identity();
    link.onInboundReady(this, peer);
  }

  private void onHeartbeat(Handshake.Heartbeat heartbeat) {
    timeoutMs =
        MAX_SILENT_INTERVALS
            * Math.clamp(heartbeat.intervalMs(), PeerLink.HEARTBEAT_MS, PeerLink.MAX_HEARTBEAT_MS);
    write(new Handshake.HeartbeatAck());
  }

  @Override
  void onClosed() {
    link.onInboundClosed(this, peer);
  }
}
