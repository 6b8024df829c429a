package org.sycamoretrack.daemon.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;

/**
 * Futures that wait for an event of a key range: callers whose claim is being written, followers
 * that wait for the outcome of the same call, which is already running, and recordings that wait
 * for an outcome to be written. Confined to the control thread.
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

  /** Adds the caller of a claim that is not written yet. */
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

  /** Refuses the callers and followers of claims whose calls will not be run for them. */
  void refuse(List<String> keys, ErrorCode code) {
    for (String key : keys) {
      CompletableFuture<ClaimDecision> caller = callers.remove(key);
      if (caller != null) {
        refuse(caller, code);
      }
      completeFollowers(key, new ClaimDecision.Refused(code));
    }
  }

  /** Adds a caller that waits for the outcome of a running call with the same key. */
  void addFollower(String key, long deadlineMs, CompletableFuture<ClaimDecision> caller) {
    List<Follower> keyFollowers = followers.computeIfAbsent(key, unused -> new ArrayList<>());
    if (keyFollowers.size() >= MAX_FOLLOWERS) {
      refuse(caller, ErrorCode.OVERLOADED);
    } else {
      keyFollowers.add(new Follower(deadlineMs, caller));
    }
  }

  void completeFollowers(String key, ClaimDecision decision) {
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

  /** Adds a future that is completed when a key's outcome has been written. */
  void addRecording(String key, CompletableFuture<Void> recorded) {
    recordings.computeIfAbsent(key, unused -> new ArrayList<>()).add(recorded);
  }

  /** Completes the futures that wait for a key's outcome to be written. */
  void onRecorded(String key) {
    List<CompletableFuture<Void>> futures = recordings.remove(key);
    if (futures != null) {
      futures.forEach(recorded -> recorded.complete(null));
    }
  }

  static void failRecording(CompletableFuture<Void> recorded) {
    recorded.completeExceptionally(
        new SycamoreException(
            ErrorCode.LEASE_LOST,
            ExecutionOutcome.NOT_RUN,
            "this node does not hold the claim on the key"));
  }

  /**
   * Fails all recordings and completes all followers with {@link ClaimDecision.Unsettled}: this
   * node will not learn the outcomes any more.
   */
  void onRangeLost() {
    recordings.values().forEach(futures -> futures.forEach(ClaimWaiters::failRecording));
    recordings.clear();
    List.copyOf(followers.keySet())
        .forEach(key -> completeFollowers(key, new ClaimDecision.Unsettled()));
  }
}
