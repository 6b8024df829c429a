package org.sycamoretrack.standins.connection;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;

/**
 * The prompt prefixes that an engine still has in memory, least recently used first.
 *
 * <p>Prompts are cut into blocks of {@link #BLOCK_CHARS} characters; a block is known by a hash of
 * the prompt up to its end. With blocks {@code A B C} stored, the prompt {@code A B D} finds two
 * blocks and adds one. Changes are published as events, {@code lagMs} late and with every {@link
 * #DROPPED_EVENT_INTERVAL}th one missing.
 */
public final class PrefixCache {
  /** Characters in a block. */
  public static final int BLOCK_CHARS = 64;

  private static final int DROPPED_EVENT_INTERVAL = 10;
  private static final int MAX_EVENTS = 1_000;

  /** A change of the cache. */
  private record Event(long seq, String type, String prefix, long publishedAtMs) {}

  private final int capacityBlocks;
  private final int lagMs;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<Event> events = new ArrayDeque<>();
  private long nextSeq = 1;

  /**
   * Creates an empty cache.
   *
   * @param capacityBlocks most blocks that are kept
   * @param lagMs how late events are published, in milliseconds
   */
  public PrefixCache(int capacityBlocks, int lagMs) {
    this.capacityBlocks = capacityBlocks;
    this.lagMs = lagMs;
  }

  /**
   * Looks a prompt up and stores it.
   *
   * @param prompt the prompt
   * @return how many of its first characters were in the cache
   */
  public int lookUpAndStore(String prompt) {
    long hash = 1;
    int cached = 0;
    boolean found = true;
    for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
      hash = hash * 31 + prompt.substring(end - BLOCK_CHARS, end).hashCode();
      found = blocks.put(hash, true) != null && found;
      if (found) {
        cached = end;
      } else {
        addEvent("stored", hash);
      }
    }
    evict();
    return cached;
  }

  private void evict() {
    Iterator<Long> oldest = blocks.keySet().iterator();
    for (int excess = blocks.size() - capacityBlocks; excess > 0; excess--) {
      addEvent("evicted", oldest.next());
      oldest.remove();
    }
  }

  private void addEvent(String type, long hash) {
    long publishedAtMs = System.currentTimeMillis() + lagMs;
    long seq = nextSeq++;
    if (seq % DROPPED_EVENT_INTERVAL != 0) {
      events.addLast(new Event(seq, type, Long.toHexString(hash), publishedAtMs));
    }
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  /** Returns the share of the capacity that is used, 0 to 1. */
  public double usedShare() {
    return (double) blocks.size() / capacityBlocks;
  }

  /** Forgets everything. */
  public void clear() {
    blocks.clear();
  }

  /**
   * Returns published events as JSON.
   *
   * @param afterSeq only those with a higher number
   */
  public ArrayNode events(long afterSeq) {
    long nowMs = System.currentTimeMillis();
    ArrayNode json = Json.mapper().createArrayNode();
    for (Event event : events) {
      if (event.seq() > afterSeq && event.publishedAtMs() <= nowMs) {
        json.addObject()
            .put("seq", event.seq())
            .put("type", event.type())
            .put("prefix", event.prefix());
      }
    }
    return json;
  }
}
