package org.sycamoretrack.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;

/**
 * A connection that this node opens, from the connection attempt until it is closed. It carries all
 * messages to the peer.
 *
 * <p>Senders encode messages on their own threads and queue the frames; the first frame since the
 * last flush schedules a task on the event loop, which writes all queued frames and flushes once.
 * The queue and the buffer of the channel are limited in bytes.
 */
final class OutboundConnection extends PeerConnection {
  private static final int MAX_SILENT_INTERVALS = 3;

  private final InetSocketAddress address;
  private final ManyToOneConcurrentLinkedQueue<ByteBuf> queue =
      new ManyToOneConcurrentLinkedQueue<>();
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicBoolean flushScheduled = new AtomicBoolean();
  private byte[] acceptorNonce;
  private byte[] nonce;
  private volatile PeerIdentity peer;
  private long lastHeartbeatNanos;

  OutboundConnection(PeerLink link, InetSocketAddress address) {
    super(link);
    this.address = address;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Returns the identity of the peer, or null before the handshake is complete. */
  PeerIdentity peer() {
    return peer;
  }

  boolean isWritable() {
    Channel channel = channel();
    return peer != null
        && channel.isActive()
        && channel.isWritable()
        && queuedBytes.get() < link.maxQueuedBytes();
  }

  /** Queues a message. May be called from any thread. */
  boolean send(PeerMessage message) {
    if (!isWritable()) {
      return false;
    }
    Channel channel = channel();
    ByteBuf frame = link.codec().encode(channel.alloc(), message);
    queuedBytes.addAndGet(frame.readableBytes());
    queue.offer(frame);
    if (flushScheduled.compareAndSet(false, true)) {
      channel.eventLoop().execute(this::flushQueue);
    }
    return true;
  }

  private void flushQueue() {
    flushScheduled.set(false);
    Channel channel = channel();
    ByteBuf frame;
    while ((frame = queue.poll()) != null) {
      int bytes = frame.readableBytes();
      queuedBytes.addAndGet(-bytes);
      link.stats().framesSent.increment();
      link.stats().bytesSent.add(bytes);
      channel.write(frame, channel.voidPromise());
    }
    channel.flush();
  }

  /** Sends a heartbeat when one is due; closes the connection when the peer has been silent. */
  void checkHeartbeat(long nowNanos, long intervalMs) {
    if (peer == null) {
      return;
    }
    if (silentMs() > MAX_SILENT_INTERVALS * intervalMs) {
      link.stats().connectionsTimedOut.increment();
      close();
    } else if (nowNanos - lastHeartbeatNanos >= intervalMs * 1_000_000L) {
      lastHeartbeatNanos = nowNanos;
      write(new Handshake.Heartbeat(intervalMs));
    }
  }

  @Override
  void onOpen() {
    nonce = link.authenticator().newNonce();
    channel()
        .eventLoop()
        .schedule(
            this::closeIfHandshakeIncomplete, PeerLink.HANDSHAKE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Closes the connection to a server that accepts it but does not complete the handshake. */
  private void closeIfHandshakeIncomplete() {
    if (peer == null && channel().isActive()) {
      link.stats().connectionsTimedOut.increment();
      close();
    }
  }

  @Override
  void onMessage(PeerMessage message) {
    switch (message) {
      case Handshake.Challenge challenge when acceptorNonce == null -> onChallenge(challenge);
      case Handshake.Welcome welcome when acceptorNonce != null && peer == null ->
          onWelcome(welcome);
      case Handshake.HeartbeatAck ack -> {
        // channelRead0 has already recorded the time of arrival.
      }
      default ->
          throw new MalformedFrameException("unexpected " + message.type() + " from an acceptor");
    }
  }

  private void onChallenge(Handshake.Challenge challenge) {
    acceptorNonce = challenge.nonce();
    PeerIdentity self = link.identity();
    byte[] proof =
        link.authenticator()
            .createProof(PeerAuthenticator.Role.DIALLER, acceptorNonce, nonce, self);
    write(new Handshake.Hello(self, nonce, proof));
  }

  private void onWelcome(Handshake.Welcome welcome) {
    if (!link.authenticator()
        .verify(
            PeerAuthenticator.Role.ACCEPTOR,
            acceptorNonce,
            nonce,
            welcome.identity(),
            welcome.proof())) {
      link.stats().proofsRefused.increment();
      close();
      return;
    }
    if (link.registerOutbound(this, welcome.identity())) {
      completeHandshake();
      peer = welcome.identity();
      link.onOutboundReady(peer);
    } else {
      close();
    }
  }

  @Override
  void onClosed() {
    link.onOutboundClosed(this, peer);
    PeerIdentity formerPeer = peer;
    peer = null;
    if (formerPeer != null) {
      releaseQueue();
    }
  }

  private void releaseQueue() {
    ByteBuf frame;
    while ((frame = queue.poll()) != null) {
      frame.release();
    }
  }
}
