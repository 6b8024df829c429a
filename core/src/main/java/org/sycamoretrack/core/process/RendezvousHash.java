package org.sycamoretrack.core.process;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Assigns keys to nodes by rendezvous (highest random weight) hashing.
 *
 * <p>Each node has a score for the key, and the node with the highest score owns the key. All nodes
 * that see the same members compute the same owner without communication, and when a member leaves,
 * only the keys that it owned move.
 *
 * <p>Example: with scores a=7, b=9, c=4 for key {@code step/12}, node b owns the key. When b
 * leaves, a owns it; the keys of a and c do not move.
 */
public final class RendezvousHash {
  private RendezvousHash() {}

  /**
   * Returns the owner of a key.
   *
   * @param key the key
   * @param nodeIds the ids of the members
   * @return the owner, or empty if there are no members; of equal scores the smaller id wins
   */
  public static Optional<String> owner(String key, Collection<String> nodeIds) {
    String best = null;
    long bestScore = 0;
    for (String nodeId : nodeIds) {
      long score = score(key, nodeId);
      if (best == null || score > bestScore || (score == bestScore && nodeId.compareTo(best) < 0)) {
        best = nodeId;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the score of a node for a key.
   *
   * @param key the key
   * @param nodeId the node
   */
  public static long score(String key, String nodeId) {
    byte[] bytes = (key + '\0' + nodeId).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0];
  }
}
