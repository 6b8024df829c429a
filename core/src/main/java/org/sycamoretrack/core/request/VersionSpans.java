package org.sycamoretrack.core.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the weight versions of an answer while its chunks arrive, across resumes.
 *
 * <p>Neighbouring chunks of one version become one span, so that an answer has as many spans as it
 * has changes of version. Invariant: the spans cover all tokens without gap or overlap.
 *
 * <p>Example: chunks (7, 10 tokens), (7, 5 tokens), (8, 3 tokens) give [7: 0 to 15) and [8: 15 to
 * 18). Not thread-safe.
 */
public final class VersionSpans {
  private final List<VersionSpan> closed = new ArrayList<>(1);
  private long version;
  private int from;
  private int to;

  /**
   * Adds the tokens of a chunk.
   *
   * @param chunkVersion the weight version that the engine names
   * @param tokens the number of tokens, not negative
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

  /** Returns the number of tokens so far. */
  public int tokens() {
    return to;
  }

  /** Returns the spans so far. */
  public List<VersionSpan> toList() {
    if (to == from) {
      return List.copyOf(closed);
    }
    List<VersionSpan> all = new ArrayList<>(closed);
    all.add(new VersionSpan(version, from, to));
    return List.copyOf(all);
  }

  /**
   * Returns the oldest version of some spans.
   *
   * @param spans spans of one answer
   * @return the lowest version, {@link Long#MAX_VALUE} when there are no spans
   */
  public static long oldest(List<VersionSpan> spans) {
    long oldest = Long.MAX_VALUE;
    for (VersionSpan span : spans) {
      oldest = Math.min(oldest, span.version());
    }
    return oldest;
  }
}
