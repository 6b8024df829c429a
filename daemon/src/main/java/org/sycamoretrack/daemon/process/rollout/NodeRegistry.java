package org.sycamoretrack.daemon.process.rollout;

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
import org.sycamoretrack.daemon.farend.Failures;
import org.sycamoretrack.daemon.farend.PartitionWrite;
import org.sycamoretrack.daemon.farend.PartitionedStore;
import org.sycamoretrack.daemon.farend.PartitionedStore.Page;
import org.sycamoretrack.daemon.farend.PartitionedStore.Row;
import org.sycamoretrack.daemon.farend.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables;

/**
 * Keeps this node's row in the table of nodes, and reads those of the others.
 *
 * <p>The row is written on condition of its version, so that a write of an earlier run of this node
 * that the store carries out late has no effect. With more nodes the interval grows, so that all
 * nodes together write and read a bounded number of rows a second.
 *
 * <p>Confined to the control loop, but for {@link #isRegistered}.
 */
public final class NodeRegistry {
  /** A dead node is noticed within three intervals, while steps are due within some seconds. */
  private static final long MIN_INTERVAL_MS = 500;

  /** Keeps heartbeats of all nodes together at 100 writes a second, an eighth of the store's. */
  private static final long INTERVAL_MS_PER_NODE = 10;

  /** How many intervals without a heartbeat make a node dead. */
  private static final int MISSED_HEARTBEATS = 4;

  /**
   * A heartbeat that hangs is written anew before its node counts as dead. A store that is 60 times
   * slower than usual still answers in half of this.
   */
  private static final long WRITE_TIMEOUT_MS = 700;

  /** A read over a peer follows one that hangs, and both must fit. */
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
   * @param store the store, which answers on the loop
   * @param loop the control loop
   * @param self this node; its heartbeat is ignored
   * @param onChange called on the loop when the live nodes have changed
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

  /** Starts to write and read. */
  public void start() {
    loop.execute(this::writeHeartbeat);
    loop.execute(this::readNodes);
  }

  /** Stops writing and reading. */
  public void stop() {
    stopped = true;
  }

  /** Returns whether the store has this node's row. */
  public boolean isRegistered() {
    return registered;
  }

  /** Returns the nodes that live. */
  public List<NodeRecord> liveNodes() {
    return liveNodes;
  }

  /** Returns how the nodes stand. */
  public NodeTable nodeTable() {
    return nodeTable;
  }

  /** Returns when the read was sent that the nodes are known from, by the steady clock. */
  public long readSentAtMs() {
    return readSentAtMs;
  }

  /** Returns whether the nodes were read lately enough to call one dead. */
  public boolean isFresh() {
    return readAtMs != Long.MIN_VALUE && MonotonicClock.nowMs() - readAtMs < 2 * intervalMs();
  }

  /**
   * Says that this node stops, so that others take over.
   *
   * @return done when the store has it, or has refused it
   */
  public CompletionStage<Void> leave() {
    leaving = true;
    return writeOwnRow().handle((done, failure) -> null);
  }

  private long intervalMs() {
    return Math.max(MIN_INTERVAL_MS, INTERVAL_MS_PER_NODE * liveNodes.size());
  }

  /** After a start, the others may be starting too, and what they held waits for them. */
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
            Failures.logged(
                (done, failure) ->
                    loop.schedule(this::writeHeartbeat, intervalMs(), TimeUnit.MILLISECONDS)));
  }

  private CompletionStage<Void> writeOwnRow() {
    NodeRecord self = new NodeRecord(nodeId, incarnation, zone, peerAddress, ++heartbeat, leaving);
    PartitionWrite.Builder write =
        PartitionWrite.in("").put(ControlTables.NODES, nodeId, ControlTables.write(self));
    if (rowVersion >= 0) {
      write.expect(ControlTables.NODES, nodeId, rowVersion);
    } else {
      write.expect(ControlTables.NODES, nodeId, PartitionWrite.ABSENT);
    }
    return Failures.bounded(store.commit(write.build()), loop, WRITE_TIMEOUT_MS)
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
    long sentMs = MonotonicClock.nowMs();
    Failures.bounded(store.scan(ControlTables.NODES, "", "", MAX_NODES_READ), loop, READ_TIMEOUT_MS)
        .whenComplete(
            Failures.logged(
                (page, failure) -> {
                  if (failure == null) {
                    onNodesRead(page, sentMs);
                  } else {
                    LOG.log(
                        System.Logger.Level.DEBUG,
                        LogEvent.of("nodes-unread")
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  }
                  loop.schedule(this::readNodes, readIntervalMs(), TimeUnit.MILLISECONDS);
                }));
  }

  private void onNodesRead(Page page, long sentMs) {
    Map<NodeRecord, Long> rows = new HashMap<>();
    for (Row row : page.rows()) {
      try {
        rows.put(ControlTables.readNode(row), row.version());
      } catch (IllegalArgumentException e) {
        LOG.log(
            System.Logger.Level.WARNING,
            LogEvent.of("row-unreadable").with("table", row.table()).with("key", row.key()));
      }
    }
    readSentAtMs = sentMs;
    readAtMs = MonotonicClock.nowMs();
    nodeTable.setTimeoutMs(MISSED_HEARTBEATS * intervalMs());
    nodeTable.onRead(rows, sentMs, readAtMs);
    List<NodeRecord> now = new ArrayList<>(nodeTable.live());
    logChanges(liveNodes, now);
    liveNodes = List.copyOf(now);
    onChange.run();
  }

  private static void logChanges(List<NodeRecord> before, List<NodeRecord> now) {
    List<String> old = before.stream().map(NodeRecord::incarnation).toList();
    List<String> current = now.stream().map(NodeRecord::incarnation).toList();
    for (NodeRecord node : now) {
      if (!old.contains(node.incarnation())) {
        LOG.log(System.Logger.Level.INFO, LogEvent.of("node-seen").with("peer", node.nodeId()));
      }
    }
    for (NodeRecord node : before) {
      if (!current.contains(node.incarnation())) {
        LOG.log(
            System.Logger.Level.INFO,
            LogEvent.of("node-gone")
                .with("peer", node.nodeId())
                .with("heartbeat", node.heartbeat()));
      }
    }
  }
}
