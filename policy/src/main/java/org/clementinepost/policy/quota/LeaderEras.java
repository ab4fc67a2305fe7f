package org.clementinepost.policy.quota;

import io.vavr.collection.Vector;
import org.clementinepost.kernel.Step;

/**
 * Decides about the quota leader's lease when the store comes back from an older copy.
 *
 * <p>A row that was written in an earlier era, or that the copy lacks, says nothing about who was
 * the leader when the store was lost. Whoever it was holds its lease for at most the duration of a
 * lease, so a node waits for that long from its first sight of the new era. The leader itself,
 * while its lease would still last, may take it again without waiting, by one conditional write.
 */
final class LeaderEras {
  private LeaderEras() {}

  /** The write may have replaced that of a leader of the new era, and gives no lease. */
  static Step<LeaderLeaseState, LeaderLeaseEffect> onWriteInLostHistory(
      LeaderLeaseState state, long nowNanos) {
    long era = Math.max(state.era(), state.version().era() + 1);
    return onEraBegan(state.withStoreCallEnded(), era, nowNanos);
  }

  static Step<LeaderLeaseState, LeaderLeaseEffect> onEraBegan(
      LeaderLeaseState state, long era, long nowNanos) {
    LeaderLeaseState next = era > state.era() ? state.withEraEnded(era) : state;
    boolean lost = state.renewedNanos().isDefined() && next.renewedNanos().isEmpty();
    Vector<LeaderLeaseEffect> effects =
        lost ? Vector.of(new LeaderLeaseEffect.LostLeadership()) : Vector.empty();
    if (next.formerRenewedNanos().isEmpty() || next.storeCallInFlight() || !next.isRunning()) {
      return Step.to(next, effects);
    }
    return Step.to(next.withReadStarted(nowNanos), effects.append(new LeaderLeaseEffect.ReadRow()));
  }

  /**
   * Whether the leader of the preceding era may take its lease again. While that lease would still
   * last, no other node can have taken one in the new era.
   */
  static boolean mayTakeAgain(LeaderLeaseState state, LeaderLeaseEvent.RowRead read) {
    return read.version().era() == state.version().era() + 1
        && read.writtenEra() < read.version().era()
        && state
            .formerRenewedNanos()
            .exists(
                sentNanos ->
                    read.suspendAwareNanos() - sentNanos < LeaderLeasePolicy.LEASE_DURATION_NANOS);
  }
}
