package org.clementinepost.policy.quota;

import java.util.concurrent.TimeUnit;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides which node gives out the quota.
 *
 * <p>The keeper holds a row under a lease that it renews. Another node takes the row only after it
 * has seen it unchanged, and its keeper silent, for longer than the lease lasts; a node that finds
 * its own earlier start in the row takes it at once, since that process is gone. At no time do two
 * nodes give out tokens, whoever can reach whom.
 *
 * @param ownLease this node as the keeper
 */
public record LeaderLeasePolicy(LeaderLease ownLease)
    implements Decision<LeaderLeaseState, LeaderLeaseEvent, LeaderLeaseEffect> {
  private static final long LEASE_DURATION_NANOS = TimeUnit.SECONDS.toNanos(8);
  private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** What clocks that differ, and an answer that is long on its way, may take. */
  private static final long TAKEOVER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long MIN_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A seat that was given back is soon taken by a node that goes on. */
  private static final long RELEASED_MIN_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Whether this node may give out tokens now. */
  public boolean isLeader(LeaderLeaseState state, long cautiousNanos) {
    return state.renewedNanos().exists(sent -> cautiousNanos - sent < LEASE_DURATION_NANOS);
  }

  @Override
  public Step<LeaderLeaseState, LeaderLeaseEffect> decide(
      LeaderLeaseState state, LeaderLeaseEvent event) {
    if (event instanceof LeaderLeaseEvent.LeaderUnavailable missed) {
      return onLeaderUnavailable(state, missed.nowNanos());
    }
    if (event instanceof LeaderLeaseEvent.LeaderResponded heard) {
      return Step.to(state.withLeaderResponse(heard.nowNanos()));
    }
    if (event instanceof LeaderLeaseEvent.RowRead read) {
      return onRowRead(state, read);
    }
    if (event instanceof LeaderLeaseEvent.RowWritten written) {
      return onRowWritten(state, written);
    }
    if (event instanceof LeaderLeaseEvent.WriteConflict preceded) {
      return onWriteConflict(state, preceded.nowNanos());
    }
    if (event instanceof LeaderLeaseEvent.StoreCallFailed) {
      return Step.to(state.withStoreCallEnded());
    }
    if (event instanceof LeaderLeaseEvent.Tick tick) {
      return onTick(state, tick.suspendAwareNanos());
    }
    return onNodeStopping(state);
  }

  private static Step<LeaderLeaseState, LeaderLeaseEffect> onLeaderUnavailable(
      LeaderLeaseState state, long nowNanos) {
    long gapNanos =
        state.lease().contains(LeaderLease.released())
            ? RELEASED_MIN_READ_INTERVAL_NANOS
            : MIN_READ_INTERVAL_NANOS;
    boolean tooSoon = nowNanos - state.lastReadNanos() < gapNanos;
    if (state.storeCallInFlight() || tooSoon || state.renewedNanos().isDefined()) {
      return Step.to(state);
    }
    return Step.to(state.withReadStarted(nowNanos), new LeaderLeaseEffect.ReadRow());
  }

  private Step<LeaderLeaseState, LeaderLeaseEffect> onRowRead(
      LeaderLeaseState state, LeaderLeaseEvent.RowRead read) {
    LeaderLeaseState next = state.withRow(read.lease(), read.version(), read.nowNanos());
    if (next.isReleasing()) {
      return next.lease().contains(ownLease)
          ? release(next, next.version())
          : Step.to(next.withReleaseEnded());
    }
    if (!next.isRunning() || !mayAcquire(next, read.nowNanos())) {
      return Step.to(next);
    }
    return Step.to(
        next.withWriteStarted(), new LeaderLeaseEffect.WriteRow(ownLease, next.version()));
  }

  private boolean mayAcquire(LeaderLeaseState state, long nowNanos) {
    if (state.version() == 0 || state.lease().contains(LeaderLease.released())) {
      return true;
    }
    if (state.lease().exists(seat -> seat.node().equals(ownLease.node()))) {
      return true;
    }
    return nowNanos - state.unchangedSinceNanos() >= LEASE_DURATION_NANOS + TAKEOVER_MARGIN_NANOS;
  }

  /** Whoever was first has the seat now; a keeper's own row is looked up once its lease ends. */
  private static Step<LeaderLeaseState, LeaderLeaseEffect> onWriteConflict(
      LeaderLeaseState state, long nowNanos) {
    return state.renewedNanos().isDefined()
        ? Step.to(state.withStoreCallEnded())
        : Step.to(state.withReadStarted(nowNanos), new LeaderLeaseEffect.ReadRow());
  }

  private Step<LeaderLeaseState, LeaderLeaseEffect> onRowWritten(
      LeaderLeaseState state, LeaderLeaseEvent.RowWritten written) {
    if (!state.isRunning()) {
      return onRowWrittenWhileStopping(state, written);
    }
    boolean renewed = state.renewedNanos().isDefined();
    LeaderLeaseState next = state.withLeaseHeld(ownLease, written.version(), written.sentNanos());
    return renewed
        ? Step.to(next)
        : Step.to(next, new LeaderLeaseEffect.BecameLeader(state.version() == 0));
  }

  private Step<LeaderLeaseState, LeaderLeaseEffect> onTick(
      LeaderLeaseState state, long cautiousNanos) {
    if (state.isReleasing() && !state.storeCallInFlight()) {
      return Step.to(state.withReadStarted(state.lastReadNanos()), new LeaderLeaseEffect.ReadRow());
    }
    if (state.renewedNanos().isEmpty()) {
      return Step.to(state);
    }
    if (!isLeader(state, cautiousNanos)) {
      return Step.to(state.withLeaseExpired(), new LeaderLeaseEffect.LostLeadership());
    }
    if (state.storeCallInFlight()) {
      return Step.to(state);
    }
    if (!state.isRunning()) {
      return release(state, state.version());
    }
    if (cautiousNanos - state.renewedNanos().get() < RENEWAL_INTERVAL_NANOS) {
      return Step.to(state);
    }
    return Step.to(
        state.withWriteStarted(), new LeaderLeaseEffect.WriteRow(ownLease, state.version()));
  }

  /** A lease that was taken or renewed while the node began to stop is given back as well. */
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
      LeaderLeaseState state, long version) {
    return Step.to(
        state.withReleaseStarted(version),
        new LeaderLeaseEffect.WriteRow(LeaderLease.released(), version));
  }
}
