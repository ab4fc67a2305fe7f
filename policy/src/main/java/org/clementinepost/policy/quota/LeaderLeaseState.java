package org.clementinepost.policy.quota;

import io.vavr.control.Option;
import org.clementinepost.api.NodeId;

/**
 * What one node knows about the lease row, and whether it holds the lease itself.
 *
 * @param lease the lease as last read or written; none when it is unknown
 * @param version the version of the lease row
 * @param unchangedSinceNanos since when the row is known to be unchanged and the leader has not
 *     responded
 * @param lastReadNanos when the last read of the row was started
 * @param storeCallInFlight whether a read or a write of the row is in flight
 * @param writeInFlight whether that call is a write
 * @param renewedNanos when the last successful write of this node was sent; none unless it is the
 *     leader
 * @param resigned the node that has answered, since the row last changed, that it is not the leader
 * @param phase how far this node's stop has progressed
 */
public record LeaderLeaseState(
    Option<LeaderLease> lease,
    long version,
    long unchangedSinceNanos,
    long lastReadNanos,
    boolean storeCallInFlight,
    boolean writeInFlight,
    Option<Long> renewedNanos,
    Option<NodeId> resigned,
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
        Option.none(),
        0,
        LONG_AGO_NANOS,
        LONG_AGO_NANOS,
        false,
        false,
        Option.none(),
        Option.none(),
        Phase.RUNNING);
  }

  LeaderLeaseState withReadStarted(long nowNanos) {
    return toBuilder().lastReadNanos(nowNanos).storeCallInFlight(true).build();
  }

  LeaderLeaseState withWriteStarted() {
    return toBuilder().storeCallInFlight(true).writeInFlight(true).build();
  }

  LeaderLeaseState withStoreCallEnded() {
    return toBuilder().storeCallInFlight(false).build();
  }

  LeaderLeaseState withLeaderResponse(long nowNanos) {
    return toBuilder().unchangedSinceNanos(nowNanos).resigned(Option.none()).build();
  }

  LeaderLeaseState withResigned(NodeId node) {
    return toBuilder().resigned(Option.some(node)).build();
  }

  LeaderLeaseState withRow(Option<LeaderLease> nextLease, long nextVersion, long nowNanos) {
    boolean unchanged = nextVersion == version;
    return toBuilder()
        .lease(nextLease)
        .version(nextVersion)
        .unchangedSinceNanos(unchanged ? unchangedSinceNanos : nowNanos)
        .resigned(unchanged ? resigned : Option.none())
        .storeCallInFlight(false)
        .renewedNanos(Option.none())
        .build();
  }

  LeaderLeaseState withLeaseHeld(LeaderLease ownLease, long nextVersion, long sentNanos) {
    return toBuilder()
        .lease(Option.some(ownLease))
        .version(nextVersion)
        .storeCallInFlight(false)
        .renewedNanos(Option.some(sentNanos))
        .build();
  }

  LeaderLeaseState withLeaseExpired() {
    return toBuilder().lease(Option.none()).renewedNanos(Option.none()).build();
  }

  /** Marks the node as stopping; until it has stopped, it still requests tokens from the leader. */
  LeaderLeaseState withStopping() {
    return toBuilder().phase(Phase.STOPPING).build();
  }

  /** Marks the release of a stopping leader's lease as in flight. */
  LeaderLeaseState withReleaseStarted(long lastVersion) {
    return toBuilder()
        .lease(Option.none())
        .version(lastVersion)
        .storeCallInFlight(true)
        .writeInFlight(true)
        .renewedNanos(Option.none())
        .phase(Phase.RELEASING)
        .build();
  }

  /** Marks the lease as released, or as held by another node. */
  LeaderLeaseState withReleaseEnded() {
    return toBuilder()
        .storeCallInFlight(false)
        .renewedNanos(Option.none())
        .phase(Phase.RELEASED)
        .build();
  }

  /** Whether the node that the row names has answered that it is not the leader. */
  boolean hasLeaderResigned() {
    return lease.exists(held -> resigned.contains(held.node()));
  }

  /** Whether the release of the lease is unconfirmed, so that no other node can acquire it yet. */
  public boolean isReleasing() {
    return phase == Phase.RELEASING;
  }

  boolean isRunning() {
    return phase == Phase.RUNNING;
  }

  private Builder toBuilder() {
    return new Builder(this);
  }

  /** Builds a copy with other values. */
  private static final class Builder {
    private Option<LeaderLease> lease;
    private long version;
    private long unchangedSinceNanos;
    private long lastReadNanos;
    private boolean storeCallInFlight;
    private boolean writeInFlight;
    private Option<Long> renewedNanos;
    private Option<NodeId> resigned;
    private Phase phase;

    private Builder(LeaderLeaseState state) {
      lease = state.lease;
      version = state.version;
      unchangedSinceNanos = state.unchangedSinceNanos;
      lastReadNanos = state.lastReadNanos;
      storeCallInFlight = state.storeCallInFlight;
      writeInFlight = state.writeInFlight;
      renewedNanos = state.renewedNanos;
      resigned = state.resigned;
      phase = state.phase;
    }

    Builder lease(Option<LeaderLease> next) {
      lease = next;
      return this;
    }

    Builder version(long next) {
      version = next;
      return this;
    }

    Builder unchangedSinceNanos(long next) {
      unchangedSinceNanos = next;
      return this;
    }

    Builder lastReadNanos(long next) {
      lastReadNanos = next;
      return this;
    }

    /** Sets whether a call is in flight, which is a read unless set otherwise. */
    Builder storeCallInFlight(boolean next) {
      storeCallInFlight = next;
      writeInFlight = false;
      return this;
    }

    Builder writeInFlight(boolean next) {
      writeInFlight = next;
      return this;
    }

    Builder renewedNanos(Option<Long> next) {
      renewedNanos = next;
      return this;
    }

    Builder resigned(Option<NodeId> next) {
      resigned = next;
      return this;
    }

    Builder phase(Phase next) {
      phase = next;
      return this;
    }

    LeaderLeaseState build() {
      return new LeaderLeaseState(
          lease,
          version,
          unchangedSinceNanos,
          lastReadNanos,
          storeCallInFlight,
          writeInFlight,
          renewedNanos,
          resigned,
          phase);
    }
  }
}
