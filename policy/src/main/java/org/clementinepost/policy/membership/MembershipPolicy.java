package org.clementinepost.policy.membership;

import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MembershipPeerMessage;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides which nodes make up the fleet, from the state of the links, messages of other nodes and
 * the registrations in the platform's table.
 *
 * <p>After each event, the links are adjusted to the ring, queued updates are sent when due, and a
 * changed view is published to the other services of this node, at most a few times a second.
 */
public final class MembershipPolicy
    implements Decision<MembershipState, MembershipEvent, MembershipEffect> {
  private static final long MIN_VIEW_INTERVAL_MILLIS = 200;

  @Override
  public Step<MembershipState, MembershipEffect> decide(
      MembershipState state, MembershipEvent event) {
    return handleEvent(state, event)
        .then(OverlayPolicy::updateLinks)
        .then(s -> GossipPolicy.flush(s, event.nowMillis()))
        .then(s -> publishView(s, event.nowMillis()));
  }

  private static Step<MembershipState, MembershipEffect> handleEvent(
      MembershipState state, MembershipEvent event) {
    if (event instanceof MembershipEvent.Tick tick) {
      return onTick(state, tick);
    }
    if (event instanceof MembershipEvent.Received received) {
      return onMessage(state, received);
    }
    if (event instanceof MembershipEvent.LinkUp up) {
      return SuspicionPolicy.onLinkUp(state, up.node())
          .then(s -> JoinPolicy.syncWith(s, s.table().liveMember(up.node())));
    }
    if (event instanceof MembershipEvent.LinkDown down) {
      return SuspicionPolicy.onLinkDown(state, down.node(), down.nowMillis());
    }
    if (event instanceof MembershipEvent.ProbeCompleted probe) {
      return SuspicionPolicy.sendProbeResult(
          state, probe.requester(), probe.target(), probe.reachable());
    }
    if (event instanceof MembershipEvent.Registered registered) {
      return JoinPolicy.onRegistered(
          state, registered.succeeded(), registered.nowMillis(), registered.random());
    }
    if (event instanceof MembershipEvent.Sampled sampled) {
      return JoinPolicy.onSampled(state, sampled.members(), sampled.nowMillis(), sampled.random());
    }
    return JoinPolicy.leave(state);
  }

  private static Step<MembershipState, MembershipEffect> onTick(
      MembershipState state, MembershipEvent.Tick tick) {
    if (state.stage() == MembershipState.Stage.LEAVING) {
      return MembershipStep.of(state);
    }
    return MembershipStep.of(state)
        .then(s -> SuspicionPolicy.onTick(s, tick.nowMillis()))
        .then(s -> JoinPolicy.onTick(s, tick.nowMillis(), tick.random()));
  }

  private static Step<MembershipState, MembershipEffect> onMessage(
      MembershipState state, MembershipEvent.Received received) {
    NodeId from = received.from();
    long nowMillis = received.nowMillis();
    MembershipPeerMessage message = received.message();
    if (message instanceof MembershipPeerMessage.Updates updates) {
      return GossipPolicy.onUpdates(state, from, updates.updates(), nowMillis)
          .then(s -> GossipPolicy.notifyDeadSender(s, from));
    }
    if (message instanceof MembershipPeerMessage.Digest digest) {
      return GossipPolicy.onDigest(state, from, digest).then(JoinPolicy::markJoined);
    }
    if (message instanceof MembershipPeerMessage.IndirectProbeRequest request) {
      return SuspicionPolicy.onIndirectProbeRequest(state, from, request);
    }
    return SuspicionPolicy.onIndirectProbeResult(
        state, from, (MembershipPeerMessage.IndirectProbeResult) message, nowMillis);
  }

  private static Step<MembershipState, MembershipEffect> publishView(
      MembershipState state, long nowMillis) {
    boolean due =
        state.view().stale()
            && state.stage() == MembershipState.Stage.JOINED
            && nowMillis - state.view().publishedMillis() >= MIN_VIEW_INTERVAL_MILLIS;
    if (!due) {
      return MembershipStep.of(state);
    }
    return MembershipStep.of(state.withView(new MembershipState.View(nowMillis, false)))
        .with(new MembershipEffect.PublishView(state.reachableOthers()));
  }
}
