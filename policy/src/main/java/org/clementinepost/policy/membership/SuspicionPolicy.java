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
 * Decides when a node that is no longer heard from is dead.
 *
 * <p>If one node does not hear from another, the network between their two VMs may have failed, so
 * the other monitors are asked to probe the suspected node. If one of them reaches it, it is not
 * declared dead; at least one of them must have failed to reach it before it is. A node that gets
 * no probe results may be cut off itself: it stops using the suspected node but does not report it
 * dead.
 */
final class SuspicionPolicy {
  private static final long PROBE_RESULT_TIMEOUT_MILLIS = 800;
  private static final long PROBE_RETRY_MILLIS = 3_000;
  private static final int MONITOR_PROBERS = 3;
  private static final int RANDOM_PROBERS = 3;

  private SuspicionPolicy() {}

  /** Handles the loss of a link: suspects the node if this node monitors it. */
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

  /** Handles an established link: clears the suspicion of the node. */
  static Step<MembershipState, MembershipEffect> onLinkUp(MembershipState state, NodeId node) {
    return MembershipStep.of(
        state
            .withSuspicions(state.suspicions().remove(node))
            .withUnreachable(state.unreachable().remove(node)));
  }

  /**
   * Handles a request to probe a node. A node that is known to be dead or to have restarted is not
   * probed; the result comes from the member table.
   */
  static Step<MembershipState, MembershipEffect> onIndirectProbeRequest(
      MembershipState state, NodeId from, MembershipPeerMessage.IndirectProbeRequest request) {
    Option<MemberUpdate> known = state.table().latestUpdate(request.target());
    if (known.isEmpty()) {
      return MembershipStep.of(state);
    }
    Member target = known.get().member();
    if (target.incarnation() > request.incarnation() || !known.get().isAlive()) {
      return sendProbeResult(state, from, target, known.get().isAlive());
    }
    return MembershipStep.of(state).with(new MembershipEffect.Probe(from, target));
  }

  /** Sends the result of a probe to the node that requested it. */
  static Step<MembershipState, MembershipEffect> sendProbeResult(
      MembershipState state, NodeId requester, Member target, boolean reachable) {
    MembershipPeerMessage result =
        new MembershipPeerMessage.IndirectProbeResult(
            target.node(), target.incarnation(), reachable);
    return MembershipStep.of(state)
        .withAll(
            state
                .table()
                .latestUpdate(requester)
                .map(update -> new MembershipEffect.Send(update.member(), result)));
  }

  /** Handles the result of an indirect probe. Results of nodes that were not asked are ignored. */
  static Step<MembershipState, MembershipEffect> onIndirectProbeResult(
      MembershipState state,
      NodeId from,
      MembershipPeerMessage.IndirectProbeResult result,
      long nowMillis) {
    Option<Suspicion> suspicion = state.suspicions().get(result.target());
    if (suspicion.isEmpty() || !suspicion.get().probers().contains(from)) {
      return MembershipStep.of(state);
    }
    Suspicion next = suspicion.get().withResult(from, result.reachable());
    return evaluate(state.withSuspicion(next), next, nowMillis);
  }

  /** Evaluates all suspicions. */
  static Step<MembershipState, MembershipEffect> onTick(MembershipState state, long nowMillis) {
    Step<MembershipState, MembershipEffect> step = MembershipStep.of(state);
    for (Suspicion suspicion : state.suspicions().values()) {
      step = step.then(s -> evaluate(s, suspicion, nowMillis));
    }
    return step;
  }

  private static Step<MembershipState, MembershipEffect> evaluate(
      MembershipState state, Suspicion suspicion, long nowMillis) {
    long elapsedMillis = nowMillis - suspicion.requestedMillis();
    boolean timedOut = elapsedMillis >= PROBE_RESULT_TIMEOUT_MILLIS;
    boolean hasResults = !suspicion.results().isEmpty();
    if (elapsedMillis >= PROBE_RETRY_MILLIS) {
      return requestIndirectProbes(state, suspicion.target(), suspicion.round() + 1, nowMillis);
    }
    if (suspicion.isReachedByProber()) {
      return MembershipStep.of(markUnreachable(state, suspicion));
    }
    if (hasResults && (timedOut || suspicion.hasAllResults())) {
      return declareDead(state, suspicion, nowMillis);
    }
    if (!timedOut) {
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
    Vector<NodeId> probers = selectProbers(state, target.node(), round, nowMillis);
    MembershipPeerMessage request =
        new MembershipPeerMessage.IndirectProbeRequest(target.node(), target.incarnation());
    Suspicion suspicion = Suspicion.of(target, nowMillis, probers.toSet(), round);
    return MembershipStep.of(state.withSuspicion(suspicion))
        .withAll(
            probers
                .flatMap(state.table()::liveMember)
                .map(prober -> new MembershipEffect.Send(prober, request)));
  }

  /**
   * Returns the target's other monitors and, if the first round got no results, also the linked
   * nodes and random nodes.
   */
  private static Vector<NodeId> selectProbers(
      MembershipState state, NodeId target, int round, long nowMillis) {
    HashRing ring = state.table().ring();
    Set<NodeId> excluded = state.suspicions().keySet().add(target).add(state.self().node());
    Vector<NodeId> predecessors =
        ring.predecessors(target, 2 * MONITOR_PROBERS).reject(excluded::contains);
    if (round == 0) {
      return predecessors.take(MONITOR_PROBERS);
    }
    return predecessors
        .take(MONITOR_PROBERS)
        .appendAll(state.links())
        .appendAll(randomNodes(ring, state.self().node(), nowMillis))
        .reject(excluded::contains)
        .distinct();
  }

  private static Set<NodeId> randomNodes(HashRing ring, NodeId self, long nowMillis) {
    Set<NodeId> selected = HashSet.empty();
    for (int i = 0; i < RANDOM_PROBERS && ring.size() > 0; i++) {
      long randomHash = StableHash.of(StableHash.of(self.value()), nowMillis + i);
      selected = selected.add(ring.nodeAt((int) Math.floorMod(randomHash, (long) ring.size())));
    }
    return selected;
  }
}
