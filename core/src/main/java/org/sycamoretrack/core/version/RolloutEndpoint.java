package org.sycamoretrack.core.version;

import org.sycamoretrack.core.request.Backoff;

/**
 * The state of one engine in a weight rollout: its last report, the last verified version and the
 * load in progress.
 *
 * <p>There are three sources for the version that an engine serves, and they can disagree: the
 * report ({@code GET /weights}), the chunks of a probe, and the load command that was sent. A load
 * command is no evidence. A report counts as verified only after a probe sent later has returned a
 * token of that version. Verification is lost when the report changes or the engine is unreachable,
 * and is repeated periodically because an engine may fall back to an older version without
 * reporting it.
 *
 * <p>Only a read sent after the response to the load command was received, or its call had failed,
 * is conclusive. A load ends in one of these ways:
 *
 * <ul>
 *   <li>a conclusive read reports the requested version and a probe sent after it returns a token
 *       of that version or a newer one: the load succeeded;
 *   <li>the same, but the token is of an older version: the load failed;
 *   <li>a conclusive read reports neither the version nor that it is loading: the load failed;
 *   <li>none of these within the timeout, for example because the load stalled: the load failed.
 * </ul>
 *
 * <p>After a failure the command may be repeated when the backoff has elapsed. An engine that is
 * loading the version on command of a previous lease holder gets no further command until the
 * timeout has passed.
 */
final class RolloutEndpoint {
  /** The known progress of a load command. */
  private enum Stage {
    /** The command was sent and may not have arrived. */
    SENT,
    /**
     * The response was received or the call failed; reads sent from now on show the effect of the
     * command.
     */
    SETTLED,
    /** The engine reports the version, and a probe has yet to verify it. */
    REPORTED
  }

  /** A load command whose result is not known yet. */
  private static final class Load {
    final long version;
    final boolean inPlace;
    final long startedAtMs;
    Stage stage = Stage.SENT;

    Load(long version, boolean inPlace, long sinceMs) {
      this.version = version;
      this.inPlace = inPlace;
      this.startedAtMs = sinceMs;
    }
  }

  private final String name;
  private final RolloutTimings timings;
  private final Backoff backoff;

  private long reportedVersion = WeightRollout.UNKNOWN_VERSION;
  private long reportedLoading = WeightRollout.UNKNOWN_VERSION;
  private long probedVersion;
  private boolean verified;
  private long verifiedMs;
  private boolean reachable;
  private Load load;
  private Load loadAtRead;
  private long loadingSinceMs;
  private long nextReadMs = Long.MIN_VALUE;
  private long nextProbeMs = Long.MIN_VALUE;
  private long retryMs = Long.MIN_VALUE;
  private boolean readPending;
  private boolean probePending;
  private boolean probeOutdated;
  private int failures;

  RolloutEndpoint(String name, RolloutTimings timings, Backoff backoff) {
    this.name = name;
    this.timings = timings;
    this.backoff = backoff;
  }

  /** Returns the version that the engine serves: the verified one, else the reported one. */
  long servedVersion() {
    return verified ? probedVersion : reportedVersion;
  }

  boolean isReachable() {
    return reachable;
  }

  boolean isLoading() {
    return load != null;
  }

  /** Returns whether the engine gets no new work because of a load, whichever node commanded it. */
  boolean isOutOfService() {
    return isLoadingForAnotherNode() || (load != null && !load.inPlace);
  }

  private boolean reportsLoading() {
    return reportedLoading != WeightRollout.UNKNOWN_VERSION;
  }

  /** Returns whether the engine should be commanded now to load the version. */
  boolean needsLoad(long version, long nowMs) {
    boolean alreadyLoading =
        reportedLoading >= version && nowMs - loadingSinceMs < timings.loadTimeoutMs();
    boolean idle = reachable && load == null && !alreadyLoading;
    return idle && servedVersion() < version && nowMs >= retryMs;
  }

  /** Returns whether a read is due, and if so marks it as sent. */
  boolean beginRead(long nowMs) {
    if (readPending || nowMs < nextReadMs) {
      return false;
    }
    readPending = true;
    loadAtRead = load != null && load.stage != Stage.SENT ? load : null;
    return true;
  }

  /** Returns whether a probe for the version is due, and if so marks it as sent. */
  boolean beginProbe(long targetVersion, long nowMs) {
    boolean reported =
        load == null ? reportedVersion >= targetVersion : load.stage == Stage.REPORTED;
    boolean recentlyVerified = verified && nowMs - verifiedMs < timings.verificationIntervalMs();
    if (!reported || !reachable || recentlyVerified || probePending || nowMs < nextProbeMs) {
      return false;
    }
    probePending = true;
    probeOutdated = false;
    nextProbeMs = nowMs + timings.loadingReadIntervalMs();
    return true;
  }

  void beginLoad(long version, boolean inPlace, long nowMs) {
    load = new Load(version, inPlace, nowMs);
  }

  /** Discards a load whose command was not sent. */
  void cancelLoad() {
    load = null;
  }

  /** Records that the call of the load command has ended; reads sent later show its effect. */
  void onLoadCommandSettled(long nowMs) {
    if (load != null && load.stage == Stage.SENT) {
      load.stage = Stage.SETTLED;
    }
    nextReadMs = nowMs;
  }

  void onRead(long version, long loading, long nowMs) {
    readPending = false;
    reachable = true;
    if (version != reportedVersion) {
      reportedVersion = version;
      invalidateVerification();
    }
    if (loading != reportedLoading) {
      reportedLoading = loading;
      loadingSinceMs = nowMs;
    }
    nextReadMs =
        nowMs + (load == null ? timings.readIntervalMs() : timings.loadingReadIntervalMs());
    if (load != null && loadAtRead == load && loading < load.version) {
      onLoadEnded(nowMs);
    }
  }

  private void onLoadEnded(long nowMs) {
    if (reportedVersion < load.version) {
      failLoad(nowMs);
    } else if (load.stage != Stage.REPORTED) {
      load.stage = Stage.REPORTED;
      invalidateVerification();
    }
  }

  /** Requires a new verification; the result of a pending probe is ignored. */
  private void invalidateVerification() {
    verified = false;
    probeOutdated = true;
  }

  void onReadFailed(long nowMs) {
    readPending = false;
    reachable = false;
    invalidateVerification();
    nextReadMs = nowMs + timings.readIntervalMs();
  }

  void onProbed(long version, long nowMs) {
    probePending = false;
    if (probeOutdated || (load != null && load.stage != Stage.REPORTED)) {
      return;
    }
    probedVersion = version;
    verified = true;
    verifiedMs = nowMs;
    if (load == null) {
      return;
    }
    if (version >= load.version) {
      load = null;
      failures = 0;
    } else {
      failLoad(nowMs);
    }
  }

  void onProbeFailed(long nowMs) {
    probePending = false;
    nextProbeMs = nowMs + timings.readIntervalMs();
  }

  /** Marks a load that has exceeded the timeout as failed. */
  void checkTimeout(long nowMs) {
    if (load != null && nowMs - load.startedAtMs >= timings.loadTimeoutMs()) {
      failLoad(nowMs);
    }
  }

  private void failLoad(long nowMs) {
    load = null;
    retryMs = nowMs + backoff.delayMs(failures);
    failures++;
  }

  /** Returns whether the engine is loading on command of another node. */
  boolean isLoadingForAnotherNode() {
    return load == null && reportsLoading();
  }

  RolloutStatus status(boolean outOfService) {
    return new RolloutStatus(
        name,
        servedVersion(),
        verified,
        load == null ? reportedLoading : load.version,
        outOfService,
        reachable,
        failures);
  }
}
