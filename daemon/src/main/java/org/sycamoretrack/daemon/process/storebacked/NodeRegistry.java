package org.sycamoretrack.daemon.process.storebacked;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.core.process.ownership.NodeTable;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Page;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables;

/**
 * Maintains this node's row in the node table and reads the rows of the other nodes.
 *
 * <p>The row is written conditionally on its version, so that a delayed write by an earlier process
 * of this node has no effect. The interval grows with the number of nodes, which bounds the total
 * rate of writes and reads.
 *
 * <p>Confined to the control loop, except {@link #isRegistered}.
 */
public final class NodeRegistry {
  /** Steps are due within some seconds; a dead node is detected within three intervals. */
  private static final long MIN_INTERVAL_MS = 500;

  /**
   * Bounds the heartbeats of all nodes to 100 writes per second, an eighth of the store's capacity.
   */
  private static final long INTERVAL_MS_PER_NODE = 10;

  /** Number of intervals without a heartbeat after which a node is considered dead. */
  private static final int MISSED_HEARTBEATS = 4;

  /**
   * Short enough to retry a hanging heartbeat before the node is considered dead. A store that is
   * 60 times slower than usual still responds in half of this time.
   */
  private static final long WRITE_TIMEOUT_MS = 700;

  /** Covers a direct read that hangs and the read through a peer that follows it. */
  private static final long READ_TIMEOUT_MS = 2_500;

  private static final long STARTUP_MS = 1_500;
  private static final long STARTUP_READ_INTERVAL_MS = 150;
  private static final int MAX_NODES_READ = 500;
  private static final System.Logger LOG = System.getLogger(NodeRegistry.class.getName());

  private final PartitionedStore store;
  private final EventLoop loop;
  private final String nodeId;
  private final String incarnation;
  private final String zone;
  private final String peerAddress;
  private final Runnable onChange;
  private final long startedAtMs = MonotonicClock.nowMs();
  private final NodeTable nodeTable = new NodeTable(MISSED_HEARTBEATS * MIN_INTERVAL_MS);
  private List<NodeRecord> liveNodes = List.of();
  private long rowVersion = -1;
  private long heartbeat;
  private long readSentAtMs = Long.MIN_VALUE;
  private long readAtMs = Long.MIN_VALUE;
  private boolean leaving;
  private volatile boolean registered;
  private volatile boolean stopped;

  /**
   * Creates a registry.
   *
   * @param store the store; its stages complete on the loop
   * @param loop the control loop
   * @param self this node; its heartbeat is ignored
   * @param onChange called on the loop after each read of the nodes
   */
  public NodeRegistry(PartitionedStore store, EventLoop loop, NodeRecord self, Runnable onChange) {
    this.store = store;
    this.loop = loop;
    this.nodeId = self.nodeId();
    this.incarnation = self.incarnation();
    this.zone = self.zone();
    this.peerAddress = self.peerAddress();
    this.onChange = onChange;
  }

  /** Starts writing heartbeats and reading the node table. */
  public void start() {
    loop.execute(this::writeHeartbeat);
    loop.execute(this::readNodes);
  }

  /** Stops writing heartbeats and reading the node table. */
  public void stop() {
    stopped = true;
  }

  /** Returns whether this node's row has been stored. */
  public boolean isRegistered() {
    return registered;
  }

  /** Returns the live nodes. */
  public List<NodeRecord> liveNodes() {
    return liveNodes;
  }

  /** Returns the liveness of all known nodes. */
  public NodeTable nodeTable() {
    return nodeTable;
  }

  /** Returns the time on the monotonic clock at which the latest successful read was sent. */
  public long readSentAtMs() {
    return readSentAtMs;
  }

  /** Returns whether the latest read is recent enough to consider a node dead. */
  public boolean isFresh() {
    return readAtMs != Long.MIN_VALUE && MonotonicClock.nowMs() - readAtMs < 2 * intervalMs();
  }

  /**
   * Records in the store that this node is leaving, so that others take over its work.
   *
   * @return completes once the write has succeeded or failed
   */
  public CompletionStage<Void> leave() {
    leaving = true;
    return writeOwnRow().handle((done, failure) -> null);
  }

  private long intervalMs() {
    return Math.max(MIN_INTERVAL_MS, INTERVAL_MS_PER_NODE * liveNodes.size());
  }

  /**
   * Reads more often after a start: other nodes may be starting too, and work that they owned waits
   * until they are known.
   */
  private long readIntervalMs() {
    boolean starting = MonotonicClock.nowMs() - startedAtMs < STARTUP_MS;
    return starting ? Math.min(STARTUP_READ_INTERVAL_MS, intervalMs()) : intervalMs();
  }

  private void writeHeartbeat() {
    if (stopped || leaving) {
      return;
    }
    writeOwnRow()
        .whenComplete(
            Failures.loggingExceptions(
                (done, failure) ->
                    loop.schedule(this::writeHeartbeat, intervalMs(), TimeUnit.MILLISECONDS)));
  }

  private CompletionStage<Void> writeOwnRow() {
    NodeRecord self = new NodeRecord(nodeId, incarnation, zone, peerAddress, ++heartbeat, leaving);
    PartitionWrite.Builder write =
        PartitionWrite.in("").put(ControlTables.NODES, nodeId, ControlTables.encode(self));
    if (rowVersion >= 0) {
      write.expect(ControlTables.NODES, nodeId, rowVersion);
    } else {
      write.expect(ControlTables.NODES, nodeId, PartitionWrite.ABSENT);
    }
    return Failures.withTimeout(store.commit(write.build()), loop, WRITE_TIMEOUT_MS)
        .thenCompose(this::onWritten);
  }

  private CompletionStage<Void> onWritten(WriteResult result) {
    switch (result) {
      case WriteResult.Committed committed -> {
        rowVersion = committed.version();
        registered = true;
        return CompletableFuture.completedFuture(null);
      }
      case WriteResult.Conflict conflict -> {
        Row row = conflict.find(ControlTables.NODES, nodeId);
        rowVersion = row == null ? PartitionWrite.ABSENT : row.version();
        return writeOwnRow();
      }
    }
  }

  private void readNodes() {
    if (stopped) {
      return;
    }
    long sentAtMs = MonotonicClock.nowMs();
    Failures.withTimeout(
            store.scan(ControlTables.NODES, "", "", MAX_NODES_READ), loop, READ_TIMEOUT_MS)
        .whenComplete(
            Failures.loggingExceptions(
                (page, failure) -> {
                  if (failure == null) {
                    onNodesRead(page, sentAtMs);
                  } else {
                    LOG.log(
                        System.Logger.Level.DEBUG,
                        LogEvent.of("nodes-unread")
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  }
                  loop.schedule(this::readNodes, readIntervalMs(), TimeUnit.MILLISECONDS);
                }));
  }

  private void onNodesRead(Page page, long sentAtMs) {
    Map<NodeRecord, Long> rows = new HashMap<>();
    for (Row row : page.rows()) {
      try {
        rows.put(ControlTables.decodeNode(row), row.version());
      } catch (IllegalArgumentException e) {
        LOG.log(
            System.Logger.Level.WARNING,
            LogEvent.of("row-unreadable").with("table", row.table()).with("key", row.key()));
      }
    }
    readSentAtMs = sentAtMs;
    readAtMs = MonotonicClock.nowMs();
    nodeTable.setTimeoutMs(MISSED_HEARTBEATS * intervalMs());
    nodeTable.onRead(rows, sentAtMs, readAtMs);
    List<NodeRecord> current = new ArrayList<>(nodeTable.live());
    logChanges(liveNodes, current);
    liveNodes = List.copyOf(current);
    onChange.run();
  }

  private static void logChanges(List<NodeRecord> before, List<NodeRecord> after) {
    List<String> previousRuns = before.stream().map(NodeRecord::incarnation).toList();
    List<String> currentRuns = after.stream().map(NodeRecord::incarnation).toList();
    for (NodeRecord node : after) {
      if (!previousRuns.contains(node.incarnation())) {
        LOG.log(System.Logger.Level.INFO, LogEvent.of("node-seen").with("peer", node.nodeId()));
      }
    }
    for (NodeRecord node : before) {
      if (!currentRuns.contains(node.incarnation())) {
        LOG.log(
            System.Logger.Level.INFO,
            LogEvent.of("node-gone")
                .with("peer", node.nodeId())
                .with("heartbeat", node.heartbeat()));
      }
    }
  }
}
