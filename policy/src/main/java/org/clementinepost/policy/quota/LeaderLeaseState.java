package org.clementinepost.policy.quota;

import io.vavr.control.Option;

/**
 * What a node knows of the seat.
 *
 * @param lease who has it, as last read or written; none when it was never read
 * @param version the version of its row
 * @param unchangedSinceNanos since when the row is known unchanged and its keeper unheard
 * @param lastReadNanos when the row was last asked for
 * @param storeCallInFlight whether a read or a write is on its way
 * @param renewedNanos when this node's last successful write was sent; none unless it is the keeper
 * @param phase whether the node is stopping, and has given the seat back
 */
public record LeaderLeaseState(
    Option<LeaderLease> lease,
    long version,
    long unchangedSinceNanos,
    long lastReadNanos,
    boolean storeCallInFlight,
    Option<Long> renewedNanos,
    Phase phase) {
  /** How far a node has gone on its way out. */
  public enum Phase {
    RUNNING,
    STOPPING,
    RELEASING,
    RELEASED
  }

  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

  /** The state of a node that has just started. */
  public static LeaderLeaseState initial() {
    return new LeaderLeaseState(
        Option.none(), 0, LONG_AGO_NANOS, LONG_AGO_NANOS, false, Option.none(), Phase.RUNNING);
  }

  LeaderLeaseState withReadStarted(long nowNanos) {
    return new LeaderLeaseState(
        lease, version, unchangedSinceNanos, nowNanos, true, renewedNanos, phase);
  }

  LeaderLeaseState withWriteStarted() {
    return new LeaderLeaseState(
        lease, version, unchangedSinceNanos, lastReadNanos, true, renewedNanos, phase);
  }

  LeaderLeaseState withStoreCallEnded() {
    return new LeaderLeaseState(
        lease, version, unchangedSinceNanos, lastReadNanos, false, renewedNanos, phase);
  }

  LeaderLeaseState withLeaderResponse(long nowNanos) {
    return new LeaderLeaseState(
        lease, version, nowNanos, lastReadNanos, storeCallInFlight, renewedNanos, phase);
  }

  LeaderLeaseState withRow(Option<LeaderLease> next, long nextVersion, long nowNanos) {
    long since = nextVersion == version ? unchangedSinceNanos : nowNanos;
    return new LeaderLeaseState(
        next, nextVersion, since, lastReadNanos, false, Option.none(), phase);
  }

  LeaderLeaseState withLeaseHeld(LeaderLease own, long nextVersion, long sentNanos) {
    return new LeaderLeaseState(
        Option.some(own),
        nextVersion,
        unchangedSinceNanos,
        lastReadNanos,
        false,
        Option.some(sentNanos),
        phase);
  }

  LeaderLeaseState withLeaseExpired() {
    return new LeaderLeaseState(
        Option.none(),
        version,
        unchangedSinceNanos,
        lastReadNanos,
        storeCallInFlight,
        Option.none(),
        phase);
  }

  /** The state of a node that is stopping; until it has, it still asks whoever is the keeper. */
  LeaderLeaseState withStopping() {
    return new LeaderLeaseState(
        lease,
        version,
        unchangedSinceNanos,
        lastReadNanos,
        storeCallInFlight,
        renewedNanos,
        Phase.STOPPING);
  }

  /** The state of a stopping keeper that gives its seat back. */
  LeaderLeaseState withReleaseStarted(long lastVersion) {
    return new LeaderLeaseState(
        Option.none(),
        lastVersion,
        unchangedSinceNanos,
        lastReadNanos,
        true,
        Option.none(),
        Phase.RELEASING);
  }

  /** The state of a stopping node whose seat is no longer its own. */
  LeaderLeaseState withReleaseEnded() {
    return new LeaderLeaseState(
        lease, version, unchangedSinceNanos, lastReadNanos, false, Option.none(), Phase.RELEASED);
  }

  /** Whether the seat is on its way back, so that nobody can take it yet. */
  public boolean isReleasing() {
    return phase == Phase.RELEASING;
  }

  boolean isRunning() {
    return phase == Phase.RUNNING;
  }
}
