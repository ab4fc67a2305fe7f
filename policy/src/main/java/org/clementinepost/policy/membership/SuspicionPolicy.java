package org.clementinepost.policy.membership;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberStatus;
import org.clementinepost.api.peer.MemberUpdate;
import org.clementinepost.api.peer.MembershipPeerMessage;
import org.clementinepost.kernel.Step;

/**
 * Decides when a node that is no longer heard is dead.
 *
 * <p>One node's silence may be a cut between two VMs, so the other monitors are asked to try. One
 * that reaches the node clears it; one that does not is needed to condemn it. Who finds nobody to
 * ask may be cut off itself: it stops using the node and tells nobody that it is dead.
 */
final class SuspicionPolicy {
  private static final long PROBE_RESULT_TIMEOUT_MILLIS = 800;
  private static final long PROBE_RETRY_MILLIS = 3_000;
  private static final int MONITOR_PROBERS = 3;
  private static final int RANDOM_PROBERS = 3;

  private SuspicionPolicy() {}

  /** A kept link is down: suspects the node when it is this node's to monitor. */
  static Step<MembershipState, MembershipEffect> onLinkDown(
      MembershipState state, NodeId node, long nowMillis) {
    Option<Member> target = state.table().liveMember(node);
    boolean monitored =
        OverlayPolicy.monitoredBy(state.table().ring(), state.self().node()).contains(node);
    if (target.isEmpty() || !monitored || state.suspicions().containsKey(node)) {
      return MembershipStep.of(state);
    }
    return requestIndirectProbes(state, target.get(), 0, nowMillis);
  }

  /** A kept link is up: whatever was suspected is settled. */
  static Step<MembershipState, MembershipEffect> onLinkUp(MembershipState state, NodeId node) {
    return MembershipStep.of(
        state
            .withSuspicions(state.suspicions().remove(node))
            .withUnreachable(state.unreachable().remove(node)));
  }

  /** Another node asks whether this one reaches a third. */
  static Step<MembershipState, MembershipEffect> onIndirectProbeRequest(
      MembershipState state, NodeId from, MembershipPeerMessage.IndirectProbeRequest inquiry) {
    Option<MemberUpdate> known = state.table().latestUpdate(inquiry.target());
    if (known.isEmpty()) {
      return MembershipStep.of(state);
    }
    Member target = known.get().member();
    if (target.incarnation() > inquiry.incarnation() || !known.get().isAlive()) {
      return sendProbeResult(state, from, target, known.get().isAlive());
    }
    return MembershipStep.of(state).with(new MembershipEffect.Probe(from, target));
  }

  /** Tells the node that has asked what came of it. */
  static Step<MembershipState, MembershipEffect> sendProbeResult(
      MembershipState state, NodeId asker, Member target, boolean alive) {
    MembershipPeerMessage testimony =
        new MembershipPeerMessage.IndirectProbeResult(target.node(), target.incarnation(), alive);
    return MembershipStep.of(state)
        .withAll(
            state
                .table()
                .latestUpdate(asker)
                .map(update -> new MembershipEffect.Send(update.member(), testimony)));
  }

  /** A node that was asked has answered. */
  static Step<MembershipState, MembershipEffect> onIndirectProbeResult(
      MembershipState state,
      NodeId from,
      MembershipPeerMessage.IndirectProbeResult testimony,
      long nowMillis) {
    Option<Suspicion> suspicion = state.suspicions().get(testimony.target());
    if (suspicion.isEmpty() || !suspicion.get().probers().contains(from)) {
      return MembershipStep.of(state);
    }
    Suspicion next = suspicion.get().withResult(from, testimony.reachable());
    return evaluate(state.withSuspicion(next), next, nowMillis);
  }

  /** Time has passed: settles what can be settled. */
  static Step<MembershipState, MembershipEffect> onTick(MembershipState state, long nowMillis) {
    Step<MembershipState, MembershipEffect> step = MembershipStep.of(state);
    for (Suspicion suspicion : state.suspicions().values()) {
      step = step.then(s -> evaluate(s, suspicion, nowMillis));
    }
    return step;
  }

  private static Step<MembershipState, MembershipEffect> evaluate(
      MembershipState state, Suspicion suspicion, long nowMillis) {
    long waitedMillis = nowMillis - suspicion.requestedMillis();
    boolean overdue = waitedMillis >= PROBE_RESULT_TIMEOUT_MILLIS;
    boolean answered = !suspicion.results().isEmpty();
    if (waitedMillis >= PROBE_RETRY_MILLIS) {
      return requestIndirectProbes(state, suspicion.target(), suspicion.round() + 1, nowMillis);
    }
    if (suspicion.isReachedByProber()) {
      return MembershipStep.of(markUnreachable(state, suspicion));
    }
    if (answered && (overdue || suspicion.hasAllResults())) {
      return declareDead(state, suspicion, nowMillis);
    }
    if (!overdue) {
      return MembershipStep.of(state);
    }
    return suspicion.round() == 0 && !suspicion.probers().isEmpty()
        ? requestIndirectProbes(state, suspicion.target(), 1, nowMillis)
        : MembershipStep.of(markUnreachable(state, suspicion));
  }

  private static Step<MembershipState, MembershipEffect> declareDead(
      MembershipState state, Suspicion suspicion, long nowMillis) {
    NodeId node = suspicion.target().node();
    Option<MemberUpdate> known = state.table().latestUpdate(node).filter(MemberUpdate::isAlive);
    MembershipState cleared = state.withSuspicions(state.suspicions().remove(node));
    return known
        .map(update -> update.withStatus(MemberStatus.DEAD))
        .map(
            dead ->
                GossipPolicy.applyUpdate(
                    cleared,
                    dead,
                    Option.none(),
                    "silent-for-" + (suspicion.results().size() + 1),
                    nowMillis))
        .getOrElse(() -> MembershipStep.of(cleared));
  }

  private static MembershipState markUnreachable(MembershipState state, Suspicion suspicion) {
    return state.withUnreachable(state.unreachable().add(suspicion.target().node()));
  }

  private static Step<MembershipState, MembershipEffect> requestIndirectProbes(
      MembershipState state, Member target, int round, long nowMillis) {
    Vector<NodeId> witnesses = selectProbers(state, target.node(), round, nowMillis);
    MembershipPeerMessage inquiry =
        new MembershipPeerMessage.IndirectProbeRequest(target.node(), target.incarnation());
    Suspicion suspicion = Suspicion.of(target, nowMillis, witnesses.toSet(), round);
    return MembershipStep.of(state.withSuspicion(suspicion))
        .withAll(
            witnesses
                .flatMap(state.table()::liveMember)
                .map(witness -> new MembershipEffect.Send(witness, inquiry)));
  }

  /** The target's other monitors; when they did not answer, links and others from anywhere. */
  private static Vector<NodeId> selectProbers(
      MembershipState state, NodeId target, int round, long nowMillis) {
    HashRing ring = state.table().ring();
    Set<NodeId> barred = state.suspicions().keySet().add(target).add(state.self().node());
    Vector<NodeId> near = ring.predecessors(target, 2 * MONITOR_PROBERS).reject(barred::contains);
    if (round == 0) {
      return near.take(MONITOR_PROBERS);
    }
    return near.take(MONITOR_PROBERS)
        .appendAll(state.links())
        .appendAll(randomNodes(ring, state.self().node(), nowMillis))
        .reject(barred::contains)
        .distinct();
  }

  private static Set<NodeId> randomNodes(HashRing ring, NodeId self, long nowMillis) {
    Set<NodeId> found = HashSet.empty();
    for (int i = 0; i < RANDOM_PROBERS && ring.size() > 0; i++) {
      long drawn = StableHash.of(StableHash.of(self.value()), nowMillis + i);
      found = found.add(ring.nodeAt((int) Math.floorMod(drawn, (long) ring.size())));
    }
    return found;
  }
}
