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
  private static final long ANSWER_WAIT_MILLIS = 800;
  private static final long RETRY_MILLIS = 3_000;
  private static final int WITNESSES = 3;
  private static final int RANDOM_WITNESSES = 3;

  private SuspicionPolicy() {}

  /** A kept link is down: suspects the node when it is this node's to monitor. */
  static Step<MembershipState, MembershipEffect> linkDown(
      MembershipState state, NodeId node, long nowMillis) {
    Option<Member> target = state.table().live(node);
    boolean monitored =
        OverlayPolicy.monitored(state.table().ring(), state.self().node()).contains(node);
    if (target.isEmpty() || !monitored || state.suspicions().containsKey(node)) {
      return MembershipStep.of(state);
    }
    return ask(state, target.get(), 0, nowMillis);
  }

  /** A kept link is up: whatever was suspected is settled. */
  static Step<MembershipState, MembershipEffect> linkUp(MembershipState state, NodeId node) {
    return MembershipStep.of(
        state
            .withSuspicions(state.suspicions().remove(node))
            .withUnreachable(state.unreachable().remove(node)));
  }

  /** Another node asks whether this one reaches a third. */
  static Step<MembershipState, MembershipEffect> inquiry(
      MembershipState state, NodeId from, MembershipPeerMessage.Inquiry inquiry) {
    Option<MemberUpdate> known = state.table().newest(inquiry.target());
    if (known.isEmpty()) {
      return MembershipStep.of(state);
    }
    Member target = known.get().member();
    if (target.incarnation() > inquiry.incarnation() || !known.get().isAlive()) {
      return testify(state, from, target, known.get().isAlive());
    }
    return MembershipStep.of(state).with(new MembershipEffect.Probe(from, target));
  }

  /** Tells the node that has asked what came of it. */
  static Step<MembershipState, MembershipEffect> testify(
      MembershipState state, NodeId asker, Member target, boolean alive) {
    MembershipPeerMessage testimony =
        new MembershipPeerMessage.Testimony(target.node(), target.incarnation(), alive);
    return MembershipStep.of(state)
        .withAll(
            state
                .table()
                .newest(asker)
                .map(update -> new MembershipEffect.Send(update.member(), testimony)));
  }

  /** A node that was asked has answered. */
  static Step<MembershipState, MembershipEffect> testimony(
      MembershipState state,
      NodeId from,
      MembershipPeerMessage.Testimony testimony,
      long nowMillis) {
    Option<Suspicion> suspicion = state.suspicions().get(testimony.target());
    if (suspicion.isEmpty() || !suspicion.get().asked().contains(from)) {
      return MembershipStep.of(state);
    }
    Suspicion next = suspicion.get().answered(from, testimony.alive());
    return settle(state.withSuspicion(next), next, nowMillis);
  }

  /** Time has passed: settles what can be settled. */
  static Step<MembershipState, MembershipEffect> tick(MembershipState state, long nowMillis) {
    Step<MembershipState, MembershipEffect> step = MembershipStep.of(state);
    for (Suspicion suspicion : state.suspicions().values()) {
      step = step.then(s -> settle(s, suspicion, nowMillis));
    }
    return step;
  }

  private static Step<MembershipState, MembershipEffect> settle(
      MembershipState state, Suspicion suspicion, long nowMillis) {
    long waitedMillis = nowMillis - suspicion.askedMillis();
    boolean overdue = waitedMillis >= ANSWER_WAIT_MILLIS;
    boolean answered = !suspicion.answers().isEmpty();
    if (waitedMillis >= RETRY_MILLIS) {
      return ask(state, suspicion.target(), suspicion.round() + 1, nowMillis);
    }
    if (suspicion.reachedByAnother()) {
      return MembershipStep.of(unreachable(state, suspicion));
    }
    if (answered && (overdue || suspicion.allAnswered())) {
      return condemn(state, suspicion, nowMillis);
    }
    if (!overdue) {
      return MembershipStep.of(state);
    }
    return suspicion.round() == 0 && !suspicion.asked().isEmpty()
        ? ask(state, suspicion.target(), 1, nowMillis)
        : MembershipStep.of(unreachable(state, suspicion));
  }

  private static Step<MembershipState, MembershipEffect> condemn(
      MembershipState state, Suspicion suspicion, long nowMillis) {
    NodeId node = suspicion.target().node();
    Option<MemberUpdate> known = state.table().newest(node).filter(MemberUpdate::isAlive);
    MembershipState cleared = state.withSuspicions(state.suspicions().remove(node));
    return known
        .map(update -> update.withStatus(MemberStatus.DEAD))
        .map(
            dead ->
                SpreadPolicy.learn(
                    cleared,
                    dead,
                    Option.none(),
                    "silent-for-" + (suspicion.answers().size() + 1),
                    nowMillis))
        .getOrElse(() -> MembershipStep.of(cleared));
  }

  private static MembershipState unreachable(MembershipState state, Suspicion suspicion) {
    return state.withUnreachable(state.unreachable().add(suspicion.target().node()));
  }

  private static Step<MembershipState, MembershipEffect> ask(
      MembershipState state, Member target, int round, long nowMillis) {
    Vector<NodeId> witnesses = witnesses(state, target.node(), round, nowMillis);
    MembershipPeerMessage inquiry =
        new MembershipPeerMessage.Inquiry(target.node(), target.incarnation());
    Suspicion suspicion = Suspicion.of(target, nowMillis, witnesses.toSet(), round);
    return MembershipStep.of(state.withSuspicion(suspicion))
        .withAll(
            witnesses
                .flatMap(state.table()::live)
                .map(witness -> new MembershipEffect.Send(witness, inquiry)));
  }

  /** The target's other monitors; when they did not answer, links and others from anywhere. */
  private static Vector<NodeId> witnesses(
      MembershipState state, NodeId target, int round, long nowMillis) {
    Ring ring = state.table().ring();
    Set<NodeId> barred = state.suspicions().keySet().add(target).add(state.self().node());
    Vector<NodeId> near = ring.predecessors(target, 2 * WITNESSES).reject(barred::contains);
    if (round == 0) {
      return near.take(WITNESSES);
    }
    return near.take(WITNESSES)
        .appendAll(state.links())
        .appendAll(anywhere(ring, state.self().node(), nowMillis))
        .reject(barred::contains)
        .distinct();
  }

  private static Set<NodeId> anywhere(Ring ring, NodeId self, long nowMillis) {
    Set<NodeId> found = HashSet.empty();
    for (int i = 0; i < RANDOM_WITNESSES && ring.size() > 0; i++) {
      long drawn = StableHash.of(StableHash.of(self.value()), nowMillis + i);
      found = found.add(ring.at((int) Math.floorMod(drawn, (long) ring.size())));
    }
    return found;
  }
}
