package org.clementinepost.node.quota;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.kernel.Step;
import org.clementinepost.kernel.SuspendAwareClock;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.policy.quota.LeaderLease;
import org.clementinepost.policy.quota.LeaderLeaseEffect;
import org.clementinepost.policy.quota.LeaderLeaseEvent;
import org.clementinepost.policy.quota.LeaderLeasePolicy;
import org.clementinepost.policy.quota.LeaderLeaseState;
import org.clementinepost.storage.rows.Row;
import org.clementinepost.storage.rows.RowPage;
import org.clementinepost.storage.rows.RowStore;
import org.clementinepost.storage.rows.RowWrite;

/** Elects the quota leader: runs {@link LeaderLeasePolicy} on the lease row in the store. */
final class LeaderElection {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TaskContext<QuotaServiceMessage> context;
  private final RowStore store;
  private final SuspendAwareClock suspendAwareClock;
  private final LeaderLeasePolicy policy;
  private final BecameLeaderListener becameLeaderListener;
  private final Runnable lostLeadershipListener;
  private LeaderLeaseState state = LeaderLeaseState.initial();

  /** Called when this node has become the quota leader. */
  @FunctionalInterface
  interface BecameLeaderListener {
    /**
     * Handles that this node has become the quota leader.
     *
     * @param firstLeader whether there was no leader before
     */
    void onBecameLeader(boolean firstLeader);
  }

  LeaderElection(
      TaskContext<QuotaServiceMessage> context,
      Member self,
      RowStore store,
      SuspendAwareClock suspendAwareClock,
      BecameLeaderListener becameLeaderListener,
      Runnable lostLeadershipListener) {
    this.context = context;
    this.store = store;
    this.suspendAwareClock = suspendAwareClock;
    this.policy = new LeaderLeasePolicy(new LeaderLease(self.node(), self.incarnation()));
    this.becameLeaderListener = becameLeaderListener;
    this.lostLeadershipListener = lostLeadershipListener;
  }

  boolean isLeader() {
    return policy.isLeader(state, suspendAwareClock.nowNanos());
  }

  /** Whether this node was the leader and the store has not confirmed the release of its lease. */
  boolean isReleasing() {
    return state.isReleasing();
  }

  /** Whether this node may be the leader soon, by a write of the lease row that is in flight. */
  boolean mayBecomeLeader() {
    return !isLeader() && policy.mayBecomeLeader(state);
  }

  /** Returns the last known leader if it is another node. */
  Option<NodeId> otherLeader() {
    return state
        .lease()
        .filter(lease -> !lease.equals(LeaderLease.released()) && !lease.equals(policy.ownLease()))
        .map(LeaderLease::node);
  }

  static LeaderLeaseEvent rowReadEvent(
      Either<Failure, RowPage> page, long nowNanos, long suspendAwareNanos) {
    return page.fold(
        LeaderElection::storeCallFailedEvent,
        rows -> rowReadEvent(rows, nowNanos, suspendAwareNanos));
  }

  private static LeaderLeaseEvent rowReadEvent(
      RowPage page, long nowNanos, long suspendAwareNanos) {
    Option<Row> row = page.rows().find(candidate -> candidate.key().equals(LeaderLeaseRow.KEY));
    return new LeaderLeaseEvent.RowRead(
        row.flatMap(Row::value).flatMap(LeaderLeaseRow::parse),
        row.flatMap(Row::value).map(LeaderLeaseRow::parseEra).getOrElse(0L),
        new StoreVersion(page.version().era(), row.map(Row::version).getOrElse(0L)),
        nowNanos,
        suspendAwareNanos);
  }

  static LeaderLeaseEvent rowWrittenEvent(
      QuotaServiceMessage.LeaseRowWritten written, long nowNanos) {
    return written
        .version()
        .fold(
            failure -> writeFailedEvent(failure, nowNanos),
            version -> new LeaderLeaseEvent.RowWritten(version, written.sentNanos(), nowNanos));
  }

  private static LeaderLeaseEvent writeFailedEvent(Failure failure, long nowNanos) {
    if (failure.code() == ResultCode.PLATFORM_HISTORY_LOST) {
      return new LeaderLeaseEvent.WriteInLostHistory(nowNanos);
    }
    return failure.code() == ResultCode.PLATFORM_CONDITION_FAILED
        ? new LeaderLeaseEvent.WriteConflict(nowNanos)
        : storeCallFailedEvent(failure);
  }

  private static LeaderLeaseEvent storeCallFailedEvent(Failure failure) {
    logger.atInfo().log(
        "event=quota-seat-unknown code=%d detail=%s", failure.code().number(), failure.detail());
    return new LeaderLeaseEvent.StoreCallFailed();
  }

  /** Handles an event; returns whether {@link #otherLeader} has changed. */
  boolean onEvent(LeaderLeaseEvent event) {
    Option<NodeId> before = otherLeader();
    Step<LeaderLeaseState, LeaderLeaseEffect> step = policy.decide(state, event);
    state = step.state();
    step.effects().forEach(this::execute);
    return !before.equals(otherLeader());
  }

  private void execute(LeaderLeaseEffect effect) {
    if (effect instanceof LeaderLeaseEffect.ReadRow) {
      store
          .read(LeaderLeaseRow.TABLE)
          .subscribe(page -> context.self().send(new QuotaServiceMessage.LeaseRowRead(page)));
      return;
    }
    if (effect instanceof LeaderLeaseEffect.WriteRow write) {
      writeRow(write);
      return;
    }
    if (effect instanceof LeaderLeaseEffect.BecameLeader becameLeader) {
      becameLeaderListener.onBecameLeader(becameLeader.firstLeader());
      return;
    }
    lostLeadershipListener.run();
  }

  private void writeRow(LeaderLeaseEffect.WriteRow write) {
    long sentNanos = suspendAwareClock.nowNanos();
    RowWrite row =
        new RowWrite(
            LeaderLeaseRow.KEY,
            Option.some(LeaderLeaseRow.format(write.lease(), write.expected().era())),
            write.expected());
    store
        .write(LeaderLeaseRow.TABLE, row)
        .subscribe(
            version ->
                context
                    .self()
                    .send(
                        new QuotaServiceMessage.LeaseRowWritten(
                            write.lease(),
                            sentNanos,
                            version.map(
                                number -> new StoreVersion(write.expected().era(), number)))));
  }
}
