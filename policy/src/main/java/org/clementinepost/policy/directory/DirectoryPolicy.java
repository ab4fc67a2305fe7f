package org.clementinepost.policy.directory;

import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/** Decides all that a node does for the directory, as host, as directory node and as ingress. */
public final class DirectoryPolicy
    implements Decision<DirectoryState, DirectoryEvent, DirectoryEffect> {
  private static final int FORGET_ONE_TICK_IN = 64;

  @Override
  public Step<DirectoryState, DirectoryEffect> decide(DirectoryState state, DirectoryEvent event) {
    if (event instanceof DirectoryEvent.Wanted wanted) {
      return LearningPolicy.wanted(state, wanted.service(), wanted.known(), wanted.nowMillis());
    }
    if (event instanceof DirectoryEvent.Hosted hosted) {
      return HostingPolicy.hosted(state, hosted.endpoints(), hosted.nowMillis());
    }
    if (event instanceof DirectoryEvent.Members members) {
      return moved(state, members);
    }
    if (event instanceof DirectoryEvent.Received received) {
      return received(state, received.from(), received.message(), received.nowMillis());
    }
    return tick(state, (DirectoryEvent.Tick) event);
  }

  private static Step<DirectoryState, DirectoryEffect> moved(
      DirectoryState state, DirectoryEvent.Members members) {
    Fleet next = Fleet.of(members.others().append(state.self()));
    Fleet.Change change = state.fleet().to(next);
    return HostingPolicy.moved(state.withFleet(next), change, members.nowMillis())
        .then(s -> Step.to(HoldingPolicy.moved(s, change)))
        .then(s -> LearningPolicy.moved(s, change, members.nowMillis()));
  }

  private static Step<DirectoryState, DirectoryEffect> received(
      DirectoryState state, NodeId from, DirectoryPeerMessage message, long nowMillis) {
    if (message instanceof DirectoryPeerMessage.Published published) {
      return HoldingPolicy.published(state, published, nowMillis);
    }
    if (message instanceof DirectoryPeerMessage.Subscribe subscribe) {
      return HoldingPolicy.subscribed(state, from, subscribe, nowMillis);
    }
    if (message instanceof DirectoryPeerMessage.Unsubscribe unsubscribe) {
      return HoldingPolicy.unsubscribed(state, from, unsubscribe.service());
    }
    return LearningPolicy.received(state, from, (DirectoryPeerMessage.Subset) message);
  }

  private static Step<DirectoryState, DirectoryEffect> tick(
      DirectoryState state, DirectoryEvent.Tick tick) {
    boolean forgets = Math.floorMod(tick.random(), FORGET_ONE_TICK_IN) == 0;
    DirectoryState kept = forgets ? HoldingPolicy.forget(state, tick.nowMillis()) : state;
    return HoldingPolicy.tick(kept, tick.nowMillis())
        .then(s -> HostingPolicy.tick(s, tick.nowMillis()))
        .then(s -> LearningPolicy.tick(s, tick.nowMillis()));
  }
}
