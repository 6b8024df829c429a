package org.sycamoretrack.standins.connection;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;

/**
 * An LRU cache of prompt prefixes, as an engine keeps them in memory.
 *
 * <p>Prompts are split into blocks of {@link #BLOCK_CHARS} characters; a block is identified by a
 * hash of the prompt up to the end of the block. If blocks {@code A B C} are stored, the prompt
 * {@code A B D} has two cached blocks and adds one. Changes are published as events with a delay of
 * {@code lagMs}; one in {@link #DROPPED_EVENT_INTERVAL} events is dropped, to simulate lost events.
 */
public final class PrefixCache {
  /** Number of characters in a block. */
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
   * @param capacityBlocks maximum number of blocks
   * @param lagMs delay of events, in milliseconds
   */
  public PrefixCache(int capacityBlocks, int lagMs) {
    this.capacityBlocks = capacityBlocks;
    this.lagMs = lagMs;
  }

  /**
   * Looks up a prompt and stores its blocks.
   *
   * @param prompt the prompt
   * @return the length of its cached prefix in characters
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

  /** Returns the fraction of the capacity in use, 0 to 1. */
  public double usedShare() {
    return (double) blocks.size() / capacityBlocks;
  }

  /** Removes all blocks. */
  public void clear() {
    blocks.clear();
  }

  /**
   * Returns the published events as JSON.
   *
   * @param afterSeq return only events with a higher sequence number
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
