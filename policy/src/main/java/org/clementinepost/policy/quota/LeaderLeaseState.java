package org.clementinepost.policy.quota;

import io.vavr.control.Option;

/**
 * What one node knows about the lease row, and whether it holds the lease itself.
 *
 * @param lease the lease as last read or written; none when it is unknown
 * @param version the version of the lease row
 * @param unchangedSinceNanos since when the row is known to be unchanged and the leader has not
 *     responded
 * @param lastReadNanos when the last read of the row was started
 * @param storeCallInFlight whether a read or a write of the row is in flight
 * @param renewedNanos when the last successful write of this node was sent; none unless it is the
 *     leader
 * @param phase how far this node's stop has progressed
 */
public record LeaderLeaseState(
    Option<LeaderLease> lease,
    long version,
    long unchangedSinceNanos,
    long lastReadNanos,
    boolean storeCallInFlight,
    Option<Long> renewedNanos,
    Phase phase) {
  /** The progress of a node's stop and of the release of its lease. */
  public enum Phase {
    RUNNING,
    STOPPING,
    RELEASING,
    RELEASED
  }

  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

  /** Returns the state of a node that has just started and has not read the row. */
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

  LeaderLeaseState withRow(Option<LeaderLease> nextLease, long nextVersion, long nowNanos) {
    long nextUnchangedSinceNanos = nextVersion == version ? unchangedSinceNanos : nowNanos;
    return new LeaderLeaseState(
        nextLease,
        nextVersion,
        nextUnchangedSinceNanos,
        lastReadNanos,
        false,
        Option.none(),
        phase);
  }

  LeaderLeaseState withLeaseHeld(LeaderLease ownLease, long nextVersion, long sentNanos) {
    return new LeaderLeaseState(
        Option.some(ownLease),
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

  /** Marks the node as stopping; until it has stopped, it still requests tokens from the leader. */
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

  /** Marks the release of a stopping leader's lease as in flight. */
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

  /** Marks the lease as released, or as held by another node. */
  LeaderLeaseState withReleaseEnded() {
    return new LeaderLeaseState(
        lease, version, unchangedSinceNanos, lastReadNanos, false, Option.none(), Phase.RELEASED);
  }

  /** Whether the release of the lease is unconfirmed, so that no other node can acquire it yet. */
  public boolean isReleasing() {
    return phase == Phase.RELEASING;
  }

  boolean isRunning() {
    return phase == Phase.RUNNING;
  }
}
