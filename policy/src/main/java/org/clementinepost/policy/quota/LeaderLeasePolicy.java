package org.clementinepost.policy.quota;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Elects the quota leader, the one node that issues tokens, by a lease on a row of the store.
 *
 * <p>The leader renews its lease by writing the row. Another node takes over only after the row has
 * been unchanged and the leader unresponsive for longer than a lease lasts. It takes over
 * immediately if the node in the row has answered that it is not the leader any more, or is an
 * earlier incarnation of itself: neither issues tokens again without writing the row first, and the
 * takeover fails if the row has been written. A row of an earlier era may be a copy of a lease that
 * another node has replaced since, see {@link LeaderEras}. Two nodes never issue tokens at the same
 * time, whatever the network partition.
 *
 * @param ownLease the lease row's content when this node is the leader
 */
public record LeaderLeasePolicy(LeaderLease ownLease)
    implements Decision<LeaderLeaseState, LeaderLeaseEvent, LeaderLeaseEffect> {
  static final long LEASE_DURATION_NANOS = TimeUnit.SECONDS.toNanos(8);
  private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Allows for differences between clocks and for store responses that arrive late. */
  private static final long TAKEOVER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long MIN_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Applies to a released lease, which another node is expected to acquire soon. */
  private static final long RELEASED_MIN_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Whether this node is the leader and may issue tokens now. */
  public boolean isLeader(LeaderLeaseState state, long suspendAwareNanos) {
    return state
        .renewedNanos()
        .exists(sentNanos -> suspendAwareNanos - sentNanos < LEASE_DURATION_NANOS);
  }

  /**
   * Whether this node may still become the leader by a write that is in flight.
   *
   * <p>Until it is known how the write ended, the node must not say that it isn't the leader:
   * another node would take over at once, and this one would become a second leader.
   */
  public boolean mayBecomeLeader(LeaderLeaseState state) {
    return state.isRunning() && (state.writeInFlight() || state.formerRenewedNanos().isDefined());
  }

  @Override
  public Step<LeaderLeaseState, LeaderLeaseEffect> decide(
      LeaderLeaseState state, LeaderLeaseEvent event) {
    if (event instanceof LeaderLeaseEvent.LeaderUnavailable unavailable) {
      return onLeaderUnavailable(state, unavailable.nowNanos());
    }
    if (event instanceof LeaderLeaseEvent.LeaderResponded responded) {
      return Step.to(state.withLeaderResponse(responded.nowNanos()));
    }
    if (event instanceof LeaderLeaseEvent.LeaderResigned resigned) {
      return Step.to(state.withResigned(resigned.node()));
    }
    if (event instanceof LeaderLeaseEvent.RowRead read) {
      return onRowRead(state, read);
    }
    if (event instanceof LeaderLeaseEvent.RowWritten written) {
      return onRowWritten(state, written);
    }
    if (event instanceof LeaderLeaseEvent.WriteConflict conflict) {
      return onWriteConflict(state, conflict.nowNanos());
    }
    if (event instanceof LeaderLeaseEvent.StoreCallFailed) {
      return Step.to(state.withStoreCallFailed());
    }
    if (event instanceof LeaderLeaseEvent.WriteInLostHistory lost) {
      return LeaderEras.onWriteInLostHistory(state, lost.nowNanos());
    }
    if (event instanceof LeaderLeaseEvent.EraBegan began) {
      return LeaderEras.onEraBegan(state, began.era(), began.nowNanos());
    }
    if (event instanceof LeaderLeaseEvent.Tick tick) {
      return onTick(state, tick.suspendAwareNanos());
    }
    return onNodeStopping(state);
  }

  private static Step<LeaderLeaseState, LeaderLeaseEffect> onLeaderUnavailable(
      LeaderLeaseState state, long nowNanos) {
    long minReadIntervalNanos =
        state.isRowOfPresentEra()
                && (state.lease().contains(LeaderLease.released()) || state.hasLeaderResigned())
            ? RELEASED_MIN_READ_INTERVAL_NANOS
            : MIN_READ_INTERVAL_NANOS;
    boolean tooSoon = nowNanos - state.lastReadNanos() < minReadIntervalNanos;
    if (state.storeCallInFlight() || tooSoon || state.renewedNanos().isDefined()) {
      return Step.to(state);
    }
    return Step.to(state.withReadStarted(nowNanos), new LeaderLeaseEffect.ReadRow());
  }

  private Step<LeaderLeaseState, LeaderLeaseEffect> onRowRead(
      LeaderLeaseState state, LeaderLeaseEvent.RowRead read) {
    if (read.version().era() < state.era()) {
      return Step.to(state.withStoreCallFailed());
    }
    boolean mayTakeAgain = LeaderEras.mayTakeAgain(state, read);
    LeaderLeaseState next =
        state
            .withStoreCallFailed()
            .withRow(read.lease(), read.writtenEra(), read.version(), read.nowNanos());
    if (next.isReleasing()) {
      return next.lease().contains(ownLease) && next.isRowOfPresentEra()
          ? release(next, next.version())
          : Step.to(next.withReleaseEnded());
    }
    if (!next.isRunning() || !(mayTakeAgain || mayAcquire(next, read.nowNanos()))) {
      return Step.to(next);
    }
    return Step.to(
        next.withWriteStarted(), new LeaderLeaseEffect.WriteRow(ownLease, next.version()));
  }

  private boolean mayAcquire(LeaderLeaseState state, long nowNanos) {
    boolean unchanged =
        nowNanos - state.unchangedSinceNanos() >= LEASE_DURATION_NANOS + TAKEOVER_MARGIN_NANOS;
    if (!state.isRowOfPresentEra()) {
      return unchanged;
    }
    if (state.version().version() == 0 || state.lease().contains(LeaderLease.released())) {
      return true;
    }
    if (state.lease().exists(lease -> lease.node().equals(ownLease.node()))) {
      return true;
    }
    if (state.hasLeaderResigned()) {
      return true;
    }
    return unchanged;
  }

  /**
   * Reads the row to find the node that wrote it first. A leader whose renewal was rejected does so
   * only after its lease has expired.
   */
  private static Step<LeaderLeaseState, LeaderLeaseEffect> onWriteConflict(
      LeaderLeaseState state, long nowNanos) {
    return state.renewedNanos().isDefined()
        ? Step.to(state.withStoreCallEnded())
        : Step.to(state.withReadStarted(nowNanos), new LeaderLeaseEffect.ReadRow());
  }

  private Step<LeaderLeaseState, LeaderLeaseEffect> onRowWritten(
      LeaderLeaseState state, LeaderLeaseEvent.RowWritten written) {
    if (written.version().era() < state.era()) {
      return LeaderEras.onWriteInLostHistory(state, written.nowNanos());
    }
    if (!state.isRunning()) {
      return onRowWrittenWhileStopping(state, written);
    }
    boolean renewed = state.renewedNanos().isDefined();
    LeaderLeaseState next = state.withLeaseHeld(ownLease, written.version(), written.sentNanos());
    return renewed
        ? Step.to(next)
        : Step.to(
            next, new LeaderLeaseEffect.BecameLeader(state.version().equals(StoreVersion.of(0))));
  }

  private Step<LeaderLeaseState, LeaderLeaseEffect> onTick(
      LeaderLeaseState state, long suspendAwareNanos) {
    if (state.isReleasing() && !state.storeCallInFlight()) {
      return Step.to(state.withReadStarted(state.lastReadNanos()), new LeaderLeaseEffect.ReadRow());
    }
    if (state.renewedNanos().isEmpty()) {
      return Step.to(state);
    }
    if (!isLeader(state, suspendAwareNanos)) {
      return Step.to(state.withLeaseExpired(), new LeaderLeaseEffect.LostLeadership());
    }
    if (state.storeCallInFlight()) {
      return Step.to(state);
    }
    if (!state.isRunning()) {
      return release(state, state.version());
    }
    if (suspendAwareNanos - state.renewedNanos().get() < RENEWAL_INTERVAL_NANOS) {
      return Step.to(state);
    }
    return Step.to(
        state.withWriteStarted(), new LeaderLeaseEffect.WriteRow(ownLease, state.version()));
  }

  /** Releases a lease whose acquisition or renewal was in flight when the node began to stop. */
  private static Step<LeaderLeaseState, LeaderLeaseEffect> onRowWrittenWhileStopping(
      LeaderLeaseState state, LeaderLeaseEvent.RowWritten written) {
    return state.isReleasing()
        ? Step.to(state.withReleaseEnded())
        : release(state, written.version());
  }

  private static Step<LeaderLeaseState, LeaderLeaseEffect> onNodeStopping(LeaderLeaseState state) {
    return state.storeCallInFlight() || state.renewedNanos().isEmpty()
        ? Step.to(state.withStopping())
        : release(state, state.version());
  }

  private static Step<LeaderLeaseState, LeaderLeaseEffect> release(
      LeaderLeaseState state, StoreVersion version) {
    return Step.to(
        state.withReleaseStarted(version),
        new LeaderLeaseEffect.WriteRow(LeaderLease.released(), version));
  }
}
