package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.QuotaMessage;
import org.clementinepost.kernel.Step;

/**
 * Decides how the tenure of a home that is gone is ended.
 *
 * <p>Its record in the table is marked first. Then a quorum of its witnesses takes note, and then a
 * whole lease and the life of a grant pass. Only after that are its partitions taken over.
 */
final class EndingPolicy {
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How long an ending that is over is remembered, for partitions asked for later. */
  private static final long REMEMBERED_NANOS = TimeUnit.MINUTES.toNanos(10);

  private EndingPolicy() {}

  /** A partition has another home: one that is alive is named, one that is gone is ended. */
  static Step<TenureState, TenureEffect> foreign(
      TenureState state, int partition, NodeTenure.Ref home, long nowNanos) {
    boolean alive = alive(state, home);
    TenureState.Phase phase = alive ? TenureState.Phase.FOREIGN : TenureState.Phase.ENDING;
    TenureState claimed = claimed(state, partition, phase, home, nowNanos);
    TenureEffect read = new TenureEffect.ReadNode(home, nowNanos);
    if (alive) {
      return Step.to(claimed, read);
    }
    Option<Ending> known = state.endings().get(home);
    Ending ending =
        known
            .map(before -> before.withPartition(partition))
            .getOrElse(() -> Ending.of(partition, nowNanos));
    TenureState next = claimed.withEndings(state.endings().put(home, ending));
    return known.isDefined() ? Step.to(next) : Step.to(next, read);
  }

  private static TenureState claimed(
      TenureState state,
      int partition,
      TenureState.Phase phase,
      NodeTenure.Ref home,
      long nowNanos) {
    TenureState.Claim claim = new TenureState.Claim(phase, nowNanos, Option.some(home), false);
    return state.withClaims(state.claims().put(partition, claim));
  }

  /** Whether the fleet shows the node in the life that holds the tenure. */
  private static boolean alive(TenureState state, NodeTenure.Ref home) {
    return state
        .members()
        .exists(
            member ->
                member.node().equals(home.node()) && member.incarnation() <= home.generation());
  }

  /** Takes what the table has on another node's tenure. */
  static Step<TenureState, TenureEffect> read(
      TenureState state, NodeId self, TenureEvent.NodeRead event) {
    if (event.result().isLeft()) {
      return Step.to(state);
    }
    Option<Versioned<NodeTenure>> shown = event.result().get();
    boolean ended = shown.isEmpty() || shown.get().value().fenced();
    TenureState next = ended ? endingForeign(state, event) : state;
    Option<Ending> ending = next.endings().get(event.ref());
    if (ending.isEmpty() || ending.get().fenced().isDefined()) {
      return Step.to(next);
    }
    if (shown.isEmpty()) {
      return Step.to(gone(next, event.ref(), ending.get(), event.nowNanos()));
    }
    if (ended) {
      return fenced(next, self, shown.get().value(), event.nowNanos());
    }
    if (alive(next, event.ref())) {
      return Step.to(spared(next, event));
    }
    return Step.to(
        next,
        new TenureEffect.WriteNode(
            shown.get().value().ended(), Option.some(shown.get().version())));
  }

  /** Partitions that were left to a home whose tenure has been ended meanwhile. */
  private static TenureState endingForeign(TenureState state, TenureEvent.NodeRead event) {
    TenureState next = state;
    for (Integer partition : state.claims().keySet()) {
      TenureState.Claim claim = state.claims().get(partition).get();
      boolean left =
          claim.phase() == TenureState.Phase.FOREIGN && claim.home().contains(event.ref());
      if (!left) {
        continue;
      }
      Ending ending =
          next.endings()
              .get(event.ref())
              .map(known -> known.withPartition(partition))
              .getOrElse(() -> Ending.of(partition, event.nowNanos()));
      next =
          claimed(next, partition, TenureState.Phase.ENDING, event.ref(), event.nowNanos())
              .withEndings(next.endings().put(event.ref(), ending));
    }
    return next;
  }

  /** A home deletes its record when it has given everything back; its lease is not known. */
  private static TenureState gone(
      TenureState state, NodeTenure.Ref ref, Ending ending, long nowNanos) {
    NodeTenure unknown =
        new NodeTenure(
            ref.node(), ref.generation(), Vector.empty(), TenureTerm.MAX_LEASE_MILLIS, true);
    long overNanos = nowNanos + TenureTerm.endNanos(unknown.leaseMillis());
    return put(state, ref, ending.fencedAt(unknown, nowNanos).overAt(overNanos));
  }

  private static TenureState put(TenureState state, NodeTenure.Ref ref, Ending ending) {
    return state.withEndings(state.endings().put(ref, ending));
  }

  /** The home has come back before its tenure was ended. */
  private static TenureState spared(TenureState state, TenureEvent.NodeRead event) {
    Map<Integer, TenureState.Claim> claims =
        state
            .claims()
            .reject(
                (partition, claim) ->
                    claim.phase() == TenureState.Phase.ENDING
                        && claim.home().contains(event.ref()));
    return state.withClaims(claims).withEndings(state.endings().remove(event.ref()));
  }

  /** Takes the answer to a write that ends a tenure; one that is lost is resolved by a read. */
  static Step<TenureState, TenureEffect> written(
      TenureState state, NodeId self, TenureEvent.NodeWritten event) {
    boolean known =
        state.endings().get(event.written().ref()).exists(ending -> ending.fenced().isEmpty());
    return known && event.result().isRight()
        ? fenced(state, self, event.written(), event.nowNanos())
        : Step.to(state);
  }

  private static Step<TenureState, TenureEffect> fenced(
      TenureState state, NodeId self, NodeTenure tenure, long nowNanos) {
    Ending ending = state.endings().get(tenure.ref()).get().fencedAt(tenure, nowNanos);
    TenureState next = put(state, tenure.ref(), ending);
    if (tenure.witnesses().contains(self)) {
      next =
          noted(
              next.withFences(next.fences().put(tenure.ref(), nowNanos)),
              tenure.ref(),
              self,
              nowNanos);
    }
    Ending counted = overIfNoted(next.endings().get(tenure.ref()).get(), nowNanos);
    return Step.to(put(next, tenure.ref(), counted), announcements(tenure, counted));
  }

  private static Vector<TenureEffect> announcements(NodeTenure tenure, Ending ending) {
    QuotaMessage.Fence fence = new QuotaMessage.Fence(tenure.node(), tenure.generation());
    return tenure
        .witnesses()
        .append(tenure.node())
        .reject(ending.noted()::contains)
        .map(witness -> new TenureEffect.Send(witness, fence));
  }

  /** Counts a witness that has taken note. */
  static TenureState noted(TenureState state, NodeTenure.Ref ref, NodeId witness, long nowNanos) {
    Option<Ending> ending =
        state
            .endings()
            .get(ref)
            .filter(known -> known.fenced().exists(item -> item.witnesses().contains(witness)));
    return ending.isEmpty()
        ? state
        : put(state, ref, overIfNoted(ending.get().notedBy(witness), nowNanos));
  }

  private static Ending overIfNoted(Ending ending, long nowNanos) {
    NodeTenure tenure = ending.fenced().get();
    boolean quorum = ending.noted().size() >= TenureTerm.quorum(tenure.witnesses().size());
    return quorum && ending.overNanos().isEmpty()
        ? ending.overAt(nowNanos + TenureTerm.endNanos(tenure.leaseMillis()))
        : ending;
  }

  /** Tries lost steps again, and takes over what is over. */
  static Step<TenureState, TenureEffect> tick(TenureState state, long nowNanos) {
    Step<TenureState, TenureEffect> step = Step.to(remembered(state, nowNanos));
    for (NodeTenure.Ref ref : step.state().endings().keySet()) {
      Step<TenureState, TenureEffect> next = ticked(step.state(), ref, nowNanos);
      step = Step.to(next.state(), step.effects().appendAll(next.effects()));
    }
    return step;
  }

  private static TenureState remembered(TenureState state, long nowNanos) {
    Map<NodeTenure.Ref, Ending> kept =
        state
            .endings()
            .reject(
                (ref, ending) ->
                    ending.overNanos().exists(over -> nowNanos - over > REMEMBERED_NANOS));
    Map<NodeTenure.Ref, Long> fences =
        state.fences().filterValues(told -> nowNanos - told < REMEMBERED_NANOS);
    return state.withEndings(HashMap.ofEntries(kept)).withFences(HashMap.ofEntries(fences));
  }

  private static Step<TenureState, TenureEffect> ticked(
      TenureState state, NodeTenure.Ref ref, long nowNanos) {
    Ending ending = state.endings().get(ref).get();
    if (ending.over(nowNanos)) {
      return takeOver(state, ref, ending, nowNanos);
    }
    if (ending.overNanos().isDefined() || nowNanos - ending.triedNanos() < RETRY_NANOS) {
      return Step.to(state);
    }
    TenureState tried = put(state, ref, ending.triedAt(nowNanos));
    if (ending.fenced().isEmpty()) {
      return Step.to(tried, new TenureEffect.ReadNode(ref, nowNanos));
    }
    NodeTenure tenure = ending.fenced().get();
    boolean lateEnough = nowNanos - ending.fencedNanos() >= TenureTerm.OUTAGE_LIMIT_NANOS;
    if (lateEnough) {
      long overNanos = nowNanos + TenureTerm.endNanos(tenure.leaseMillis());
      return Step.to(put(tried, ref, ending.overAt(overNanos)));
    }
    return Step.to(tried, announcements(tenure, ending));
  }

  private static Step<TenureState, TenureEffect> takeOver(
      TenureState state, NodeTenure.Ref ref, Ending ending, long nowNanos) {
    Step<TenureState, TenureEffect> step = Step.to(put(state, ref, ending.withoutPartitions()));
    for (Integer partition : ending.partitions()) {
      Step<TenureState, TenureEffect> next = ClaimPolicy.lookUp(step.state(), partition, nowNanos);
      step = Step.to(next.state(), step.effects().appendAll(next.effects()));
    }
    return step;
  }
}
