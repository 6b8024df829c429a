package org.sycamoretrack.daemon.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.Outcome;

/**
 * Those who wait for something of a key range: callers for their claim to be written, followers for
 * the answer of the same call that runs already, and recordings for an outcome to be written.
 * Confined to the control thread.
 */
final class ClaimWaiters {
  private static final int MAX_FOLLOWERS = 64;

  private record Follower(long deadlineMs, CompletableFuture<ClaimDecision> future) {}

  private final Map<String, CompletableFuture<ClaimDecision>> callers = new HashMap<>();
  private final Map<String, List<Follower>> followers = new HashMap<>();
  private final Map<String, List<CompletableFuture<Void>>> recordings = new HashMap<>();

  static void refuse(CompletableFuture<ClaimDecision> caller, ErrorCode code) {
    caller.complete(new ClaimDecision.Refused(code));
  }

  /** Keeps the caller of a claim that waits to be written. */
  void addCaller(String key, CompletableFuture<ClaimDecision> caller) {
    callers.put(key, caller);
  }

  /** Tells the caller of a written claim to run its call. */
  void completeWithRun(String key) {
    CompletableFuture<ClaimDecision> caller = callers.remove(key);
    if (caller != null) {
      caller.complete(new ClaimDecision.Run());
    }
  }

  /** Refuses the callers and followers of claims that nobody will run for them. */
  void refuse(List<String> keys, ErrorCode code) {
    for (String key : keys) {
      CompletableFuture<ClaimDecision> caller = callers.remove(key);
      if (caller != null) {
        refuse(caller, code);
      }
      answerFollowers(key, new ClaimDecision.Refused(code));
    }
  }

  /** Keeps a caller until the call of another with the same key has an outcome. */
  void addFollower(String key, long deadlineMs, CompletableFuture<ClaimDecision> caller) {
    List<Follower> keyFollowers = followers.computeIfAbsent(key, unused -> new ArrayList<>());
    if (keyFollowers.size() >= MAX_FOLLOWERS) {
      refuse(caller, ErrorCode.OVERLOADED);
    } else {
      keyFollowers.add(new Follower(deadlineMs, caller));
    }
  }

  void answerFollowers(String key, ClaimDecision decision) {
    List<Follower> keyFollowers = followers.remove(key);
    if (keyFollowers != null) {
      keyFollowers.forEach(follower -> follower.future().complete(decision));
    }
  }

  void expireFollowers(long nowMs) {
    followers.values().removeIf(keyFollowers -> expire(keyFollowers, nowMs));
  }

  private static boolean expire(List<Follower> keyFollowers, long nowMs) {
    keyFollowers.removeIf(
        follower ->
            follower.deadlineMs() <= nowMs
                && follower.future().complete(new ClaimDecision.Unsettled()));
    return keyFollowers.isEmpty();
  }

  /** Keeps one who waits for a key's outcome to be written. */
  void addRecording(String key, CompletableFuture<Void> recorded) {
    recordings.computeIfAbsent(key, unused -> new ArrayList<>()).add(recorded);
  }

  /** Notes that a key's outcome was written. */
  void onRecorded(String key) {
    List<CompletableFuture<Void>> futures = recordings.remove(key);
    if (futures != null) {
      futures.forEach(recorded -> recorded.complete(null));
    }
  }

  static void failRecording(CompletableFuture<Void> recorded) {
    recorded.completeExceptionally(
        new SycamoreException(
            ErrorCode.LEASE_LOST, Outcome.NOT_RUN, "the key's claim is not held here"));
  }

  /** Ends all that wait for something which this node will not see any more. */
  void onRangeLost() {
    recordings.values().forEach(futures -> futures.forEach(ClaimWaiters::failRecording));
    recordings.clear();
    List.copyOf(followers.keySet())
        .forEach(key -> answerFollowers(key, new ClaimDecision.Unsettled()));
  }
}
