package org.clementinepost.policy.quota;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.NodeId;
import org.clementinepost.kernel.Step;

/**
 * Decides how a node becomes the home of a partition.
 *
 * <p>Partitions are claimed when somebody asks for their tokens, by the node that rendezvous
 * hashing prefers. A home that lives keeps its partitions when others join, so that quota moves
 * only when a home leaves.
 */
final class ClaimPolicy {
  private static final long LOST_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long FOREIGN_RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private ClaimPolicy() {}

  /** Starts to look a partition up, unless that is under way. */
  static Step<TenureState, TenureEffect> wanted(
      TenureState state, NodeId self, TenureEvent.Wanted wanted) {
    int partition = wanted.partition();
    boolean preferred = Partitions.preferredHome(partition, state.memberIds()).contains(self);
    if (state.stopping() || !preferred || state.owned().containsKey(partition)) {
      return Step.to(state);
    }
    if (state.registration().item().isEmpty()) {
      Step<Registration, TenureEffect> step =
          RegistrationPolicy.wanted(state.registration(), self, state.memberIds());
      return Step.to(state.with(step.state()), step.effects());
    }
    boolean underWay =
        state.claims().get(partition).exists(claim -> underWay(claim, wanted.nowNanos()));
    return underWay ? Step.to(state) : lookUp(state, partition, wanted.nowNanos());
  }

  private static boolean underWay(TenureState.Claim claim, long nowNanos) {
    long ageNanos = nowNanos - claim.sinceNanos();
    return switch (claim.phase()) {
      case READING, WRITING -> ageNanos < LOST_STEP_NANOS;
      case FOREIGN -> ageNanos < FOREIGN_RECHECK_NANOS;
      case ENDING -> true;
    };
  }

  /** Reads a partition's record. */
  static Step<TenureState, TenureEffect> lookUp(TenureState state, int partition, long nowNanos) {
    TenureState.Claim claim =
        new TenureState.Claim(TenureState.Phase.READING, nowNanos, Option.none(), false);
    return Step.to(
        state.withClaims(state.claims().put(partition, claim)),
        new TenureEffect.ReadPartition(partition));
  }

  /** Takes what the table has on a partition. */
  static Step<TenureState, TenureEffect> read(
      TenureState state, NodeId self, TenureEvent.PartitionRead event) {
    int partition = event.partition();
    boolean reading =
        state.claims().get(partition).exists(claim -> claim.phase() == TenureState.Phase.READING);
    if (!reading || state.registration().item().isEmpty() || state.stopping()) {
      return Step.to(state);
    }
    if (event.result().isLeft()) {
      return Step.to(state.withClaims(state.claims().remove(partition)));
    }
    Option<Versioned<PartitionTenure>> shown = event.result().get();
    if (shown.isEmpty()) {
      return write(state, self, partition, 1, Option.none(), false, event.nowNanos());
    }
    Versioned<PartitionTenure> item = shown.get();
    NodeTenure.Ref home = item.value().ref();
    long nextEpoch = item.value().epoch() + 1;
    Option<Long> version = Option.some(item.version());
    if (item.value().released()) {
      return write(state, self, partition, nextEpoch, version, true, event.nowNanos());
    }
    if (home.equals(new NodeTenure.Ref(self, state.registration().generation()))) {
      return Step.to(own(state, item, true, event.nowNanos()));
    }
    if (state.endings().get(home).exists(ending -> ending.over(event.nowNanos()))) {
      return write(state, self, partition, nextEpoch, version, false, event.nowNanos());
    }
    return EndingPolicy.foreign(state, partition, home, event.nowNanos());
  }

  private static Step<TenureState, TenureEffect> write(
      TenureState state,
      NodeId self,
      int partition,
      long epoch,
      Option<Long> expectedVersion,
      boolean drains,
      long nowNanos) {
    long generation = state.registration().generation();
    PartitionTenure next = new PartitionTenure(partition, self, generation, epoch, false);
    TenureState.Claim claim =
        new TenureState.Claim(TenureState.Phase.WRITING, nowNanos, Option.some(next.ref()), drains);
    return Step.to(
        state.withClaims(state.claims().put(partition, claim)),
        new TenureEffect.WritePartition(next, expectedVersion));
  }

  /** Takes the answer to a write; one that is lost is resolved by the next look-up. */
  static Step<TenureState, TenureEffect> written(
      TenureState state, TenureEvent.PartitionWritten event) {
    PartitionTenure written = event.written();
    if (written.released()) {
      return released(state, written.partition());
    }
    Option<TenureState.Claim> claim =
        state
            .claims()
            .get(written.partition())
            .filter(known -> known.home().contains(written.ref()));
    boolean current =
        claim.isDefined()
            && written.generation() == state.registration().generation()
            && !state.stopping();
    if (!current) {
      return Step.to(state);
    }
    return event
        .result()
        .fold(
            failure -> Step.to(state.withClaims(state.claims().remove(written.partition()))),
            item -> Step.to(own(state, item, claim.get().drains(), event.nowNanos())));
  }

  private static TenureState own(
      TenureState state, Versioned<PartitionTenure> item, boolean drains, long nowNanos) {
    PartitionTenure partition = item.value();
    long mintsFromNanos = drains ? nowNanos + TenureTerm.drainNanos() : nowNanos;
    Tenures.Tenure tenure =
        new Tenures.Tenure(partition.epoch(), mintsFromNanos, partition.epoch() == 1);
    Map<Integer, TenureState.Owned> owned =
        state
            .owned()
            .put(partition.partition(), new TenureState.Owned(tenure, partition, item.version()));
    return state.withOwned(owned).withClaims(state.claims().remove(partition.partition()));
  }

  /** Gives every partition back; the node grants nothing from here on. */
  static Step<TenureState, TenureEffect> stopping(TenureState state, long nowNanos) {
    TenureState next = state.with(state.registration().validUntil(nowNanos)).whileStopping();
    if (state.owned().isEmpty()) {
      return Step.to(next, deleted(next));
    }
    Vector<TenureEffect> effects =
        state
            .owned()
            .values()
            .map(
                owned ->
                    (TenureEffect)
                        new TenureEffect.WritePartition(
                            owned.item().handedBack(), Option.some(owned.version())))
            .toVector();
    return Step.to(next, effects);
  }

  private static Step<TenureState, TenureEffect> released(TenureState state, int partition) {
    TenureState next = state.withOwned(state.owned().remove(partition));
    boolean last = state.stopping() && next.owned().isEmpty() && !state.owned().isEmpty();
    return last ? Step.to(next, deleted(next)) : Step.to(next);
  }

  private static Vector<TenureEffect> deleted(TenureState state) {
    Vector<TenureEffect> delete =
        state
            .registration()
            .item()
            .map(
                item ->
                    (TenureEffect) new TenureEffect.DeleteNode(item.value().ref(), item.version()))
            .toVector();
    return delete.append(new TenureEffect.Released());
  }
}
