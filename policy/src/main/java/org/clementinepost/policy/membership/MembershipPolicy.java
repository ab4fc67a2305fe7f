package org.clementinepost.policy.membership;

import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MembershipPeerMessage;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides who makes up the fleet, from what links, other nodes and the platform's table tell.
 *
 * <p>Whatever an event changes, the links follow the ring, waiting news is passed on when it is
 * due, and the other services are told of a changed view, at most a few times a second.
 */
public final class MembershipPolicy
    implements Decision<MembershipState, MembershipEvent, MembershipEffect> {
  private static final long VIEW_INTERVAL_MILLIS = 200;

  @Override
  public Step<MembershipState, MembershipEffect> decide(
      MembershipState state, MembershipEvent event) {
    return change(state, event)
        .then(OverlayPolicy::relink)
        .then(s -> SpreadPolicy.flush(s, event.nowMillis()))
        .then(s -> tellView(s, event.nowMillis()));
  }

  private static Step<MembershipState, MembershipEffect> change(
      MembershipState state, MembershipEvent event) {
    if (event instanceof MembershipEvent.Tick tick) {
      return tick(state, tick);
    }
    if (event instanceof MembershipEvent.Received received) {
      return received(state, received);
    }
    if (event instanceof MembershipEvent.LinkUp up) {
      return SuspicionPolicy.linkUp(state, up.node())
          .then(s -> JoinPolicy.meet(s, s.table().live(up.node())));
    }
    if (event instanceof MembershipEvent.LinkDown down) {
      return SuspicionPolicy.linkDown(state, down.node(), down.nowMillis());
    }
    if (event instanceof MembershipEvent.Probed probed) {
      return SuspicionPolicy.testify(state, probed.asker(), probed.target(), probed.alive());
    }
    if (event instanceof MembershipEvent.Registered registered) {
      return JoinPolicy.registered(
          state, registered.done(), registered.nowMillis(), registered.random());
    }
    if (event instanceof MembershipEvent.Sampled sampled) {
      return JoinPolicy.sampled(state, sampled.registered(), sampled.nowMillis(), sampled.random());
    }
    return JoinPolicy.leave(state);
  }

  private static Step<MembershipState, MembershipEffect> tick(
      MembershipState state, MembershipEvent.Tick tick) {
    if (state.stage() == MembershipState.Stage.LEAVING) {
      return MembershipStep.of(state);
    }
    return MembershipStep.of(state)
        .then(s -> SuspicionPolicy.tick(s, tick.nowMillis()))
        .then(s -> JoinPolicy.tick(s, tick.nowMillis(), tick.random()));
  }

  private static Step<MembershipState, MembershipEffect> received(
      MembershipState state, MembershipEvent.Received received) {
    NodeId from = received.from();
    long nowMillis = received.nowMillis();
    MembershipPeerMessage message = received.message();
    if (message instanceof MembershipPeerMessage.Updates updates) {
      return SpreadPolicy.receive(state, from, updates.updates(), nowMillis)
          .then(s -> SpreadPolicy.answerTheDead(s, from));
    }
    if (message instanceof MembershipPeerMessage.Digest digest) {
      return SpreadPolicy.compare(state, from, digest).then(JoinPolicy::met);
    }
    if (message instanceof MembershipPeerMessage.Inquiry inquiry) {
      return SuspicionPolicy.inquiry(state, from, inquiry);
    }
    return SuspicionPolicy.testimony(
        state, from, (MembershipPeerMessage.Testimony) message, nowMillis);
  }

  private static Step<MembershipState, MembershipEffect> tellView(
      MembershipState state, long nowMillis) {
    boolean due =
        state.view().stale()
            && state.stage() == MembershipState.Stage.JOINED
            && nowMillis - state.view().toldMillis() >= VIEW_INTERVAL_MILLIS;
    if (!due) {
      return MembershipStep.of(state);
    }
    return MembershipStep.of(state.withView(new MembershipState.View(nowMillis, false)))
        .with(new MembershipEffect.View(state.others()));
  }
}
