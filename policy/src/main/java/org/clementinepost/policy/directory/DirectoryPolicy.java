package org.clementinepost.policy.directory;

import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides the actions of a node in the endpoint directory: as the host that publishes backend
 * servers, as a directory node and as an ingress node that subscribes.
 */
public final class DirectoryPolicy
    implements Decision<DirectoryState, DirectoryEvent, DirectoryEffect> {
  private static final int MEAN_TICKS_BETWEEN_EXPIRIES = 64;

  @Override
  public Step<DirectoryState, DirectoryEffect> decide(DirectoryState state, DirectoryEvent event) {
    if (event instanceof DirectoryEvent.Lookup lookup) {
      return SubscriberPolicy.onLookup(state, lookup.service(), lookup.reply(), lookup.nowMillis());
    }
    if (event instanceof DirectoryEvent.LocalEndpointsChanged local) {
      return PublisherPolicy.onLocalEndpointsChanged(state, local.endpoints(), local.nowMillis());
    }
    if (event instanceof DirectoryEvent.MembersChanged members) {
      return onMembersChanged(state, members);
    }
    if (event instanceof DirectoryEvent.Received received) {
      return onMessage(state, received.from(), received.message(), received.nowMillis());
    }
    return onTick(state, (DirectoryEvent.Tick) event);
  }

  private static Step<DirectoryState, DirectoryEffect> onMembersChanged(
      DirectoryState state, DirectoryEvent.MembersChanged members) {
    LiveNodes next = LiveNodes.of(members.others().append(state.self()));
    LiveNodes.Change change = state.liveNodes().changeTo(next);
    return PublisherPolicy.onMembersChanged(state.withLiveNodes(next), change, members.nowMillis())
        .then(s -> Step.to(DirectoryNodePolicy.onMembersChanged(s, change)))
        .then(s -> SubscriberPolicy.onMembersChanged(s, change, members.nowMillis()));
  }

  private static Step<DirectoryState, DirectoryEffect> onMessage(
      DirectoryState state, NodeId from, DirectoryPeerMessage message, long nowMillis) {
    if (message instanceof DirectoryPeerMessage.Publish publish) {
      return DirectoryNodePolicy.onPublish(state, publish, nowMillis);
    }
    if (message instanceof DirectoryPeerMessage.Subscribe subscribe) {
      return DirectoryNodePolicy.onSubscribe(state, from, subscribe, nowMillis);
    }
    if (message instanceof DirectoryPeerMessage.Unsubscribe unsubscribe) {
      return DirectoryNodePolicy.onUnsubscribe(state, from, unsubscribe.service());
    }
    return SubscriberPolicy.onSubset(state, from, (DirectoryPeerMessage.Subset) message);
  }

  private static Step<DirectoryState, DirectoryEffect> onTick(
      DirectoryState state, DirectoryEvent.Tick tick) {
    boolean expires = Math.floorMod(tick.random(), MEAN_TICKS_BETWEEN_EXPIRIES) == 0;
    DirectoryState remaining =
        expires ? DirectoryNodePolicy.expire(state, tick.nowMillis()) : state;
    return DirectoryNodePolicy.onTick(remaining, tick.nowMillis())
        .then(s -> PublisherPolicy.onTick(s, tick.nowMillis()))
        .then(s -> SubscriberPolicy.onTick(s, tick.nowMillis()));
  }
}
