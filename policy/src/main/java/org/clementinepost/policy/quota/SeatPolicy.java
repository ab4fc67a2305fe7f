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
 * @param own this node as the keeper
 */
public record SeatPolicy(Seat own) implements Decision<SeatState, SeatEvent, SeatEffect> {
  private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(8);
  private static final long RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** What clocks that differ, and an answer that is long on its way, may take. */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long READ_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A seat that was given back is soon taken by a node that goes on. */
  private static final long VACANT_READ_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Whether this node may give out tokens now. */
  public boolean isKeeper(SeatState state, long cautiousNanos) {
    return state.leaseNanos().exists(sent -> cautiousNanos - sent < LEASE_NANOS);
  }

  @Override
  public Step<SeatState, SeatEffect> decide(SeatState state, SeatEvent event) {
    if (event instanceof SeatEvent.Missed missed) {
      return missed(state, missed.nowNanos());
    }
    if (event instanceof SeatEvent.Heard heard) {
      return Step.to(state.heard(heard.nowNanos()));
    }
    if (event instanceof SeatEvent.Read read) {
      return read(state, read);
    }
    if (event instanceof SeatEvent.Written written) {
      return written(state, written);
    }
    if (event instanceof SeatEvent.Preceded preceded) {
      return preceded(state, preceded.nowNanos());
    }
    if (event instanceof SeatEvent.Failed) {
      return Step.to(state.settled());
    }
    if (event instanceof SeatEvent.Tick tick) {
      return ticked(state, tick.cautiousNanos());
    }
    return leave(state);
  }

  private static Step<SeatState, SeatEffect> missed(SeatState state, long nowNanos) {
    long gapNanos = state.seat().contains(Seat.vacant()) ? VACANT_READ_GAP_NANOS : READ_GAP_NANOS;
    boolean tooSoon = nowNanos - state.readNanos() < gapNanos;
    if (state.busy() || tooSoon || state.leaseNanos().isDefined()) {
      return Step.to(state);
    }
    return Step.to(state.asked(nowNanos), new SeatEffect.Read());
  }

  private Step<SeatState, SeatEffect> read(SeatState state, SeatEvent.Read read) {
    SeatState next = state.read(read.seat(), read.version(), read.nowNanos());
    if (next.isHandingOver()) {
      return next.seat().contains(own) ? giveBack(next, next.version()) : Step.to(next.givenBack());
    }
    if (!next.stays() || !mayTake(next, read.nowNanos())) {
      return Step.to(next);
    }
    return Step.to(next.writing(), new SeatEffect.Write(own, next.version()));
  }

  private boolean mayTake(SeatState state, long nowNanos) {
    if (state.version() == 0 || state.seat().contains(Seat.vacant())) {
      return true;
    }
    if (state.seat().exists(seat -> seat.node().equals(own.node()))) {
      return true;
    }
    return nowNanos - state.unchangedSinceNanos() >= LEASE_NANOS + MARGIN_NANOS;
  }

  /** Whoever was first has the seat now; a keeper's own row is looked up once its lease ends. */
  private static Step<SeatState, SeatEffect> preceded(SeatState state, long nowNanos) {
    return state.leaseNanos().isDefined()
        ? Step.to(state.settled())
        : Step.to(state.asked(nowNanos), new SeatEffect.Read());
  }

  private Step<SeatState, SeatEffect> written(SeatState state, SeatEvent.Written written) {
    if (!state.stays()) {
      return writtenWhileLeaving(state, written);
    }
    boolean renewed = state.leaseNanos().isDefined();
    SeatState next = state.seated(own, written.version(), written.sentNanos());
    return renewed ? Step.to(next) : Step.to(next, new SeatEffect.Seated(state.version() == 0));
  }

  private Step<SeatState, SeatEffect> ticked(SeatState state, long cautiousNanos) {
    if (state.isHandingOver() && !state.busy()) {
      return Step.to(state.asked(state.readNanos()), new SeatEffect.Read());
    }
    if (state.leaseNanos().isEmpty()) {
      return Step.to(state);
    }
    if (!isKeeper(state, cautiousNanos)) {
      return Step.to(state.unseated(), new SeatEffect.Unseated());
    }
    if (state.busy()) {
      return Step.to(state);
    }
    if (!state.stays()) {
      return giveBack(state, state.version());
    }
    if (cautiousNanos - state.leaseNanos().get() < RENEWAL_NANOS) {
      return Step.to(state);
    }
    return Step.to(state.writing(), new SeatEffect.Write(own, state.version()));
  }

  /** A lease that was taken or renewed while the node began to stop is given back as well. */
  private static Step<SeatState, SeatEffect> writtenWhileLeaving(
      SeatState state, SeatEvent.Written written) {
    return state.isHandingOver() ? Step.to(state.givenBack()) : giveBack(state, written.version());
  }

  private static Step<SeatState, SeatEffect> leave(SeatState state) {
    return state.busy() || state.leaseNanos().isEmpty()
        ? Step.to(state.leaving())
        : giveBack(state, state.version());
  }

  private static Step<SeatState, SeatEffect> giveBack(SeatState state, long version) {
    return Step.to(state.givingBack(version), new SeatEffect.Write(Seat.vacant(), version));
  }
}
