package org.sycamoretrack.core.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the weight versions of the tokens of a response while its chunks arrive, also across
 * resumed attempts.
 *
 * <p>Consecutive chunks of one version are merged into one span, so that the number of spans
 * depends on the number of version changes and not on the number of chunks. Invariant: the spans
 * cover all tokens without gap or overlap.
 *
 * <p>Example: chunks (7, 10 tokens), (7, 5 tokens), (8, 3 tokens) result in [7: 0 to 15) and [8: 15
 * to 18). Not thread-safe.
 */
public final class VersionSpanCollector {
  private final List<VersionSpan> closed = new ArrayList<>(1);
  private long version;
  private int from;
  private int to;

  /**
   * Adds the tokens of a chunk.
   *
   * @param chunkVersion the weight version reported by the engine
   * @param tokens the number of tokens; 0 adds nothing
   */
  public void append(long chunkVersion, int tokens) {
    if (tokens <= 0) {
      return;
    }
    if (to > from && chunkVersion != version) {
      closed.add(new VersionSpan(version, from, to));
      from = to;
    }
    version = chunkVersion;
    to += tokens;
  }

  /** Returns the number of tokens added so far. */
  public int tokens() {
    return to;
  }

  /** Returns the spans of the tokens added so far. */
  public List<VersionSpan> toList() {
    if (to == from) {
      return List.copyOf(closed);
    }
    List<VersionSpan> all = new ArrayList<>(closed);
    all.add(new VersionSpan(version, from, to));
    return List.copyOf(all);
  }

  /**
   * Returns the oldest version in a list of spans.
   *
   * @param spans the spans of one response
   * @return the lowest version; {@link Long#MAX_VALUE} if the list is empty
   */
  public static long oldest(List<VersionSpan> spans) {
    long oldest = Long.MAX_VALUE;
    for (VersionSpan span : spans) {
      oldest = Math.min(oldest, span.version());
    }
    return oldest;
  }
}
