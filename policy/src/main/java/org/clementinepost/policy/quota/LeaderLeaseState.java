package org.clementinepost.policy.quota;

import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.StoreVersion;

/**
 * What one node knows about the lease row, and whether it holds the lease itself.
 *
 * @param lease the lease as last read or written; none when it is unknown
 * @param version the version of the lease row
 * @param era the store's era as known to this node
 * @param writtenEra the era in which the writer of the row believed the store to be
 * @param unchangedSinceNanos since when the row is known to be unchanged and the leader has not
 *     responded
 * @param lastReadNanos when the last read of the row was started
 * @param storeCallInFlight whether a read or a write of the row is in flight
 * @param writeInFlight whether that call is a write
 * @param renewedNanos when the last successful write of this node was sent; none unless it is the
 *     leader
 * @param formerRenewedNanos when the last successful write was sent of a leader that has just lost
 *     its lease to a new era, and may take it again
 * @param resigned the node that has answered, since the row last changed, that it is not the leader
 * @param phase how far this node's stop has progressed
 */
public record LeaderLeaseState(
    Option<LeaderLease> lease,
    StoreVersion version,
    long era,
    long writtenEra,
    long unchangedSinceNanos,
    long lastReadNanos,
    boolean storeCallInFlight,
    boolean writeInFlight,
    Option<Long> renewedNanos,
    Option<Long> formerRenewedNanos,
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
        StoreVersion.of(0),
        0,
        0,
        LONG_AGO_NANOS,
        LONG_AGO_NANOS,
        false,
        false,
        Option.none(),
        Option.none(),
        Option.none(),
        Phase.RUNNING);
  }

  LeaderLeaseState withReadStarted(long nowNanos) {
    return toBuilder().lastReadNanos(nowNanos).storeCallInFlight(true).build();
  }

  LeaderLeaseState withWriteStarted() {
    return toBuilder()
        .storeCallInFlight(true)
        .writeInFlight(true)
        .formerRenewedNanos(Option.none())
        .build();
  }

  LeaderLeaseState withStoreCallEnded() {
    return toBuilder().storeCallInFlight(false).build();
  }

  /** Ends a call that has failed; a leader that lost its lease to a new era gives it up. */
  LeaderLeaseState withStoreCallFailed() {
    return withStoreCallEnded().toBuilder().formerRenewedNanos(Option.none()).build();
  }

  /** Marks the row and the own lease as those of an earlier era. */
  LeaderLeaseState withEraEnded(long nextEra) {
    boolean next = nextEra == version.era() + 1;
    return toBuilder()
        .lease(Option.none())
        .era(nextEra)
        .renewedNanos(Option.none())
        .formerRenewedNanos(next ? renewedNanos : Option.none())
        .resigned(Option.none())
        .build();
  }

  LeaderLeaseState withLeaderResponse(long nowNanos) {
    return toBuilder().unchangedSinceNanos(nowNanos).resigned(Option.none()).build();
  }

  LeaderLeaseState withResigned(NodeId node) {
    return toBuilder().resigned(Option.some(node)).build();
  }

  LeaderLeaseState withRow(
      Option<LeaderLease> nextLease, long nextWrittenEra, StoreVersion nextVersion, long nowNanos) {
    boolean unchanged = nextVersion.equals(version);
    return toBuilder()
        .lease(nextLease)
        .version(nextVersion)
        .era(nextVersion.era())
        .writtenEra(nextWrittenEra)
        .unchangedSinceNanos(unchanged ? unchangedSinceNanos : nowNanos)
        .resigned(unchanged ? resigned : Option.none())
        .storeCallInFlight(false)
        .renewedNanos(Option.none())
        .build();
  }

  LeaderLeaseState withLeaseHeld(LeaderLease ownLease, StoreVersion nextVersion, long sentNanos) {
    return toBuilder()
        .lease(Option.some(ownLease))
        .version(nextVersion)
        .writtenEra(nextVersion.era())
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
  LeaderLeaseState withReleaseStarted(StoreVersion lastVersion) {
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

  /** Whether the row was written in the store's present era, by the rules for that era. */
  boolean isRowOfPresentEra() {
    return writtenEra == version.era();
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
    private StoreVersion version;
    private long era;
    private long writtenEra;
    private long unchangedSinceNanos;
    private long lastReadNanos;
    private boolean storeCallInFlight;
    private boolean writeInFlight;
    private Option<Long> renewedNanos;
    private Option<Long> formerRenewedNanos;
    private Option<NodeId> resigned;
    private Phase phase;

    private Builder(LeaderLeaseState state) {
      lease = state.lease;
      version = state.version;
      era = state.era;
      writtenEra = state.writtenEra;
      unchangedSinceNanos = state.unchangedSinceNanos;
      lastReadNanos = state.lastReadNanos;
      storeCallInFlight = state.storeCallInFlight;
      writeInFlight = state.writeInFlight;
      renewedNanos = state.renewedNanos;
      formerRenewedNanos = state.formerRenewedNanos;
      resigned = state.resigned;
      phase = state.phase;
    }

    Builder lease(Option<LeaderLease> next) {
      lease = next;
      return this;
    }

    Builder version(StoreVersion next) {
      version = next;
      return this;
    }

    Builder era(long next) {
      era = next;
      return this;
    }

    Builder writtenEra(long next) {
      writtenEra = next;
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

    Builder formerRenewedNanos(Option<Long> next) {
      formerRenewedNanos = next;
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
          era,
          writtenEra,
          unchangedSinceNanos,
          lastReadNanos,
          storeCallInFlight,
          writeInFlight,
          renewedNanos,
          formerRenewedNanos,
          resigned,
          phase);
    }
  }
}
