package org.clementinepost.node.quota;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Step;
import org.clementinepost.kernel.SuspendAwareClock;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.policy.quota.Seat;
import org.clementinepost.policy.quota.SeatEffect;
import org.clementinepost.policy.quota.SeatEvent;
import org.clementinepost.policy.quota.SeatPolicy;
import org.clementinepost.policy.quota.SeatState;
import org.clementinepost.storage.rows.Row;
import org.clementinepost.storage.rows.RowPage;
import org.clementinepost.storage.rows.RowStore;
import org.clementinepost.storage.rows.RowWrite;

/** Runs the decision about the keeper's seat over its row in the store. */
final class Seating {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TaskContext<QuotaServiceMessage> context;
  private final RowStore store;
  private final SuspendAwareClock cautious;
  private final SeatPolicy policy;
  private final Seated seated;
  private final Runnable unseated;
  private SeatState state = SeatState.unknown();

  /** Is told that this node has become the keeper. */
  @FunctionalInterface
  interface Seated {
    /** The node is the keeper, and the first there ever was or not. */
    void seated(boolean first);
  }

  Seating(
      TaskContext<QuotaServiceMessage> context,
      Member self,
      RowStore store,
      SuspendAwareClock cautious,
      Seated seated,
      Runnable unseated) {
    this.context = context;
    this.store = store;
    this.cautious = cautious;
    this.policy = new SeatPolicy(new Seat(self.node(), self.incarnation()));
    this.seated = seated;
    this.unseated = unseated;
  }

  boolean isKeeper() {
    return policy.isKeeper(state, cautious.nowNanos());
  }

  /** Whether this node was the keeper and the store has not yet taken the seat back. */
  boolean isHandingOver() {
    return state.isHandingOver();
  }

  /** The other node that is the keeper, as far as is known. */
  Option<NodeId> keeper() {
    return state
        .seat()
        .filter(known -> !known.equals(Seat.vacant()) && !known.equals(policy.own()))
        .map(Seat::node);
  }

  static SeatEvent read(Either<Failure, RowPage> page, long nowNanos) {
    return page.fold(Seating::failed, rows -> read(rows, nowNanos));
  }

  private static SeatEvent read(RowPage page, long nowNanos) {
    Option<Row> row = page.rows().find(candidate -> candidate.key().equals(SeatRow.KEY));
    return new SeatEvent.Read(
        row.flatMap(Row::value).flatMap(SeatRow::read),
        row.map(Row::version).getOrElse(0L),
        nowNanos);
  }

  static SeatEvent written(QuotaServiceMessage.SeatWritten written, long nowNanos) {
    return written
        .version()
        .fold(
            failure -> notWritten(failure, nowNanos),
            version -> new SeatEvent.Written(version, written.sentNanos()));
  }

  private static SeatEvent notWritten(Failure failure, long nowNanos) {
    return failure.code() == ResultCode.PLATFORM_CONDITION_FAILED
        ? new SeatEvent.Preceded(nowNanos)
        : failed(failure);
  }

  private static SeatEvent failed(Failure failure) {
    logger.atInfo().log(
        "event=quota-seat-unknown code=%d detail=%s", failure.code().number(), failure.detail());
    return new SeatEvent.Failed();
  }

  /** Takes one event; tells whether another node has become the keeper, or is it no more. */
  boolean decide(SeatEvent event) {
    Option<NodeId> before = keeper();
    Step<SeatState, SeatEffect> step = policy.decide(state, event);
    state = step.state();
    step.effects().forEach(this::handle);
    return !before.equals(keeper());
  }

  private void handle(SeatEffect effect) {
    if (effect instanceof SeatEffect.Read) {
      store
          .read(SeatRow.TABLE)
          .subscribe(page -> context.self().send(new QuotaServiceMessage.SeatRead(page)));
      return;
    }
    if (effect instanceof SeatEffect.Write write) {
      write(write);
      return;
    }
    if (effect instanceof SeatEffect.Seated now) {
      seated.seated(now.first());
      return;
    }
    unseated.run();
  }

  private void write(SeatEffect.Write write) {
    long sentNanos = cautious.nowNanos();
    RowWrite row =
        new RowWrite(SeatRow.KEY, Option.some(SeatRow.text(write.seat())), write.expectedVersion());
    store
        .write(SeatRow.TABLE, row)
        .subscribe(
            version ->
                context
                    .self()
                    .send(new QuotaServiceMessage.SeatWritten(write.seat(), sentNanos, version)));
  }
}
