package org.sycamoretrack.daemon.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.connection.PeerLink;

/**
 * Submits attempts to other nodes over the peer link, and runs attempts submitted by other nodes.
 *
 * <p>Sender: an attempt is active from its {@link WorkMessage.Submit} until it finishes, fails or
 * is cancelled, or the connection to the node is lost. In the last case it fails with an unknown
 * outcome, since the other node may have run it. An attempt whose submit message can't be sent
 * fails as not run.
 *
 * <p>Receiver: when the connection to a node is lost, the attempts of that node are cancelled,
 * since their results can't be delivered.
 *
 * <p>Thread-safe.
 */
public final class PeerAttempts {
  private final PeerLink link;
  private final EndpointDirectory endpoints;
  private final BooleanSupplier accepting;
  private final AtomicLong nextId = new AtomicLong();
  private final Map<Long, SentAttempt> sent = new ConcurrentHashMap<>();
  private final Map<String, Map<Long, Generation>> received = new ConcurrentHashMap<>();

  /**
   * Creates the sender and the receiver side and registers their message handlers.
   *
   * @param link the peer link
   * @param endpoints runs attempts on this node
   * @param accepting whether this node accepts new work
   */
  public PeerAttempts(PeerLink link, EndpointDirectory endpoints, BooleanSupplier accepting) {
    this.link = link;
    this.endpoints = endpoints;
    this.accepting = accepting;
    link.onMessage(WorkMessage.Submit.TYPE, WorkMessage.Submit::read, this::onSubmit);
    link.onMessage(WorkMessage.Cancel.TYPE, WorkMessage.Cancel::read, this::onCancel);
    link.onMessage(WorkMessage.Tokens.TYPE, WorkMessage.Tokens::read, this::onTokens);
    link.onMessage(WorkMessage.Finished.TYPE, WorkMessage.Finished::read, this::onFinished);
    link.onMessage(WorkMessage.Failed.TYPE, WorkMessage.Failed::read, this::onFailed);
    link.onDisconnected(this::onDisconnected);
  }

  /** An attempt that another node runs for this one. */
  private record SentAttempt(String nodeId, GenerationListener listener) {}

  /**
   * Submits an attempt to another node.
   *
   * @param nodeId the id of the node that owns the endpoint
   * @param endpoint the name of the endpoint
   * @param request the generation request
   * @param listener receives the generated output, on an event loop of the peer link
   */
  Generation submit(
      String nodeId, String endpoint, GenerationRequest request, GenerationListener listener) {
    long id = nextId.incrementAndGet();
    sent.put(id, new SentAttempt(nodeId, listener));
    if (!link.send(nodeId, new WorkMessage.Submit(id, endpoint, request))) {
      if (sent.remove(id) != null) {
        listener.onFailed(
            GenerationFailure.notRun(
                ErrorCode.PEER_UNAVAILABLE,
                "attempt not submitted: node " + nodeId + " can't be reached"));
      }
      return () -> {};
    }
    return () -> {
      if (sent.remove(id) != null) {
        link.send(nodeId, new WorkMessage.Cancel(id));
      }
    };
  }

  /** Returns the number of active attempts submitted to other nodes. */
  public int sentCount() {
    return sent.size();
  }

  /** Returns the number of active attempts submitted by other nodes. */
  public int receivedCount() {
    return received.values().stream().mapToInt(Map::size).sum();
  }

  private void onTokens(String fromNodeId, WorkMessage.Tokens message) {
    SentAttempt attempt = sent.get(message.id());
    if (attempt != null) {
      attempt.listener().onTokens(message.text(), message.tokens(), message.version());
    }
  }

  private void onFinished(String fromNodeId, WorkMessage.Finished message) {
    SentAttempt attempt = sent.remove(message.id());
    if (attempt != null) {
      attempt.listener().onFinished(message.finishReason());
    }
  }

  private void onFailed(String fromNodeId, WorkMessage.Failed message) {
    SentAttempt attempt = sent.remove(message.id());
    if (attempt != null) {
      attempt.listener().onFailed(message.failure());
    }
  }

  private void onDisconnected(String nodeId) {
    Map<Long, Generation> orphans = received.remove(nodeId);
    if (orphans != null) {
      orphans.values().forEach(Generation::cancel);
    }
    sent.forEach((id, attempt) -> failSent(nodeId, id, attempt));
  }

  private void failSent(String nodeId, long id, SentAttempt attempt) {
    if (attempt.nodeId().equals(nodeId) && sent.remove(id) != null) {
      attempt
          .listener()
          .onFailed(
              new GenerationFailure(
                  ErrorCode.PEER_UNAVAILABLE,
                  ExecutionOutcome.UNKNOWN,
                  false,
                  "the connection to node " + nodeId + " was lost during the attempt"));
    }
  }

  private void onSubmit(String fromNodeId, WorkMessage.Submit message) {
    if (!accepting.getAsBoolean()) {
      GenerationFailure failure =
          GenerationFailure.notRun(
              ErrorCode.STOPPING, "the node is stopping and accepts no attempts");
      link.sendOrDisconnect(fromNodeId, new WorkMessage.Failed(message.id(), failure));
      return;
    }
    Map<Long, Generation> attemptsOfNode =
        received.computeIfAbsent(fromNodeId, unused -> new ConcurrentHashMap<>());
    OutputSender sender = new OutputSender(fromNodeId, message.id(), attemptsOfNode);
    Generation generation = endpoints.runLocally(message.endpoint(), message.request(), sender);
    attemptsOfNode.put(message.id(), generation);
    if (sender.ended) {
      attemptsOfNode.remove(message.id());
    }
  }

  private void onCancel(String fromNodeId, WorkMessage.Cancel message) {
    Generation generation = received.getOrDefault(fromNodeId, Map.of()).remove(message.id());
    if (generation != null) {
      generation.cancel();
    }
  }

  /** Sends the output of an attempt to the node that submitted it. */
  private final class OutputSender implements GenerationListener {
    private final String nodeId;
    private final long id;
    private final Map<Long, Generation> attemptsOfNode;
    private volatile boolean ended;

    private OutputSender(String nodeId, long id, Map<Long, Generation> attemptsOfNode) {
      this.nodeId = nodeId;
      this.id = id;
      this.attemptsOfNode = attemptsOfNode;
    }

    @Override
    public void onTokens(String text, int tokens, long version) {
      if (!ended && !link.send(nodeId, new WorkMessage.Tokens(id, text, tokens, version))) {
        onUndelivered();
      }
    }

    @Override
    public void onFinished(String finishReason) {
      if (!ended) {
        end();
        link.sendOrDisconnect(nodeId, new WorkMessage.Finished(id, finishReason));
      }
    }

    @Override
    public void onFailed(GenerationFailure failure) {
      if (!ended) {
        end();
        link.sendOrDisconnect(nodeId, new WorkMessage.Failed(id, failure));
      }
    }

    /** Cancels the attempt: a chunk couldn't be sent, so the output would be incomplete. */
    private void onUndelivered() {
      Generation generation = attemptsOfNode.get(id);
      end();
      if (generation != null) {
        generation.cancel();
      }
      GenerationFailure failure =
          new GenerationFailure(
              ErrorCode.PEER_UNAVAILABLE,
              ExecutionOutcome.RAN,
              false,
              "a chunk could not be sent to the requesting node");
      link.sendOrDisconnect(nodeId, new WorkMessage.Failed(id, failure));
    }

    private void end() {
      ended = true;
      attemptsOfNode.remove(id);
    }
  }
}
