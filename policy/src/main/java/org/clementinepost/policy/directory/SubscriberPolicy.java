package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.membership.StableHash;

/**
 * Decides which services an ingress node subscribes to and which endpoints it gives to routing.
 *
 * <p>A subscription begins when a request first needs a service and ends when no request has used
 * the service for a long time. Known endpoints stay in use until a directory node has sent a
 * complete subset; the host of an endpoint decides whether a request to it is still valid.
 */
final class SubscriberPolicy {
  private static final long RETRY_INTERVAL_MILLIS = 400;
  private static final long MAX_RETRY_INTERVAL_MILLIS = 10_000;
  private static final long REFRESH_INTERVAL_MILLIS = 120_000;
  private static final long UNUSED_TTL_MILLIS = 600_000;
  private static final long LAST_USED_GRANULARITY_MILLIS = 10_000;
  private static final int MAX_LOOKUP_ATTEMPTS = 6;

  private SubscriberPolicy() {}

  /** Answers a lookup from the subscription, or subscribes and leaves the lookup pending. */
  static Step<DirectoryState, DirectoryEffect> onLookup(
      DirectoryState state, ServiceId service, Reply<Boolean> reply, long nowMillis) {
    if (!state.subscriptions().containsKey(service)) {
      Vector<NodeId> directoryNodes = state.liveNodes().directoryNodes(service);
      NodeId source = selectSource(state, service, directoryNodes, 0);
      return sendSubscribe(
          state, service, Subscription.forLookup(directoryNodes, source, reply, nowMillis));
    }
    Subscription subscription = state.subscriptions().get(service).get();
    boolean stale = nowMillis - subscription.lastUsedMillis() >= LAST_USED_GRANULARITY_MILLIS;
    DirectoryState updated =
        stale ? state.withSubscription(service, subscription.withLastUsed(nowMillis)) : state;
    boolean hasEndpoints = subscription.routedEndpoints().exists(endpoints -> !endpoints.isEmpty());
    if (hasEndpoints || subscription.hasCompleteSubset()) {
      return Step.to(updated, new DirectoryEffect.CompleteLookup(reply, hasEndpoints));
    }
    return Step.to(updated.withSubscription(service, subscription.withPendingLookup(reply)));
  }

  /** Handles a subset, either the reply to a subscription or a notification of a change. */
  static Step<DirectoryState, DirectoryEffect> onSubset(
      DirectoryState state, NodeId from, DirectoryPeerMessage.Subset subset) {
    boolean expected =
        state
            .subscriptions()
            .get(subset.service())
            .exists(
                subscription ->
                    subscription.source().equals(from) && isNewer(subset, subscription));
    if (!expected) {
      return Step.to(state);
    }
    Subscription subscription = state.subscriptions().get(subset.service()).get();
    Vector<Endpoint> endpoints =
        subset.complete()
            ? subset.endpoints()
            : merge(subscription.endpoints(), subset.endpoints());
    return updateRouting(
        state.withSubscription(subset.service(), subscription.withSubset(subset, endpoints)),
        subset.service());
  }

  private static boolean isNewer(DirectoryPeerMessage.Subset subset, Subscription subscription) {
    return subset.incarnation() > subscription.incarnation()
        || (subset.incarnation() == subscription.incarnation()
            && subset.version() > subscription.version());
  }

  private static Vector<Endpoint> merge(Vector<Endpoint> known, Vector<Endpoint> next) {
    return known
        .reject(old -> next.exists(endpoint -> endpoint.server().equals(old.server())))
        .appendAll(next);
  }

  /**
   * Subscribes to other directory nodes where the change of the live nodes requires it, and
   * withdraws the endpoints of hosts that left.
   */
  static Step<DirectoryState, DirectoryEffect> onMembersChanged(
      DirectoryState state, LiveNodes.Change change, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.subscriptions()) {
      if (state.liveNodes().affectsDirectoryNodes(entry._1, entry._2.directoryNodes(), change)) {
        step = step.then(s -> updateDirectoryNodes(s, entry._1, entry._2, change, nowMillis));
      }
      step = step.then(s -> updateRouting(s, entry._1));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> updateDirectoryNodes(
      DirectoryState state,
      ServiceId service,
      Subscription subscription,
      LiveNodes.Change change,
      long nowMillis) {
    Vector<NodeId> directoryNodes = state.liveNodes().directoryNodes(service);
    DirectoryState next =
        state.withSubscription(service, subscription.withDirectoryNodes(directoryNodes));
    boolean keepsSource =
        directoryNodes.contains(subscription.source())
            && !change.left().contains(subscription.source());
    return keepsSource ? Step.to(next) : resubscribe(next, service, nowMillis);
  }

  /**
   * Retries subscriptions without a complete subset, refreshes the others, and ends those that are
   * not used.
   */
  static Step<DirectoryState, DirectoryEffect> onTick(DirectoryState state, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.subscriptions()) {
      step = step.then(s -> onTick(s, entry._1, entry._2, nowMillis));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> onTick(
      DirectoryState state, ServiceId service, Subscription subscription, long nowMillis) {
    if (nowMillis - subscription.lastUsedMillis() >= UNUSED_TTL_MILLIS) {
      return endSubscription(state, service, subscription);
    }
    long elapsedMillis = nowMillis - subscription.lastSubscribeMillis();
    if (!subscription.hasCompleteSubset()) {
      long retryMillis =
          Math.min(
              MAX_RETRY_INTERVAL_MILLIS,
              RETRY_INTERVAL_MILLIS * Math.max(1, subscription.attempts() / 2));
      return elapsedMillis >= retryMillis ? resubscribe(state, service, nowMillis) : Step.to(state);
    }
    if (elapsedMillis < REFRESH_INTERVAL_MILLIS) {
      return Step.to(state);
    }
    return Step.to(
        state.withSubscription(service, subscription.withRefreshSent(nowMillis)),
        subscribe(service, subscription.source(), subscription.version()));
  }

  private static Step<DirectoryState, DirectoryEffect> endSubscription(
      DirectoryState state, ServiceId service, Subscription subscription) {
    return Step.<DirectoryState, DirectoryEffect>to(
            state.withoutSubscription(service), unsubscribe(service, subscription.source()))
        .with(new DirectoryEffect.UpdateRouting(service, Vector.empty()))
        .withAll(
            subscription
                .pendingLookups()
                .map(reply -> new DirectoryEffect.CompleteLookup(reply, false)));
  }

  private static Step<DirectoryState, DirectoryEffect> resubscribe(
      DirectoryState state, ServiceId service, long nowMillis) {
    Subscription subscription = state.subscriptions().get(service).get();
    NodeId source =
        selectSource(state, service, subscription.directoryNodes(), subscription.attempts());
    Subscription next = subscription.withSubscribeSent(source, nowMillis);
    boolean givesUp = next.attempts() > MAX_LOOKUP_ATTEMPTS;
    Vector<Reply<Boolean>> failedLookups = givesUp ? next.pendingLookups() : Vector.empty();
    Option<DirectoryEffect> unsubscribeOld =
        source.equals(subscription.source())
            ? Option.none()
            : Option.some(unsubscribe(service, subscription.source()));
    return sendSubscribe(state, service, givesUp ? next.withoutPendingLookups() : next)
        .withAll(unsubscribeOld)
        .withAll(failedLookups.map(reply -> new DirectoryEffect.CompleteLookup(reply, false)));
  }

  private static Step<DirectoryState, DirectoryEffect> sendSubscribe(
      DirectoryState state, ServiceId service, Subscription next) {
    return Step.to(
        state.withSubscription(service, next), subscribe(service, next.source(), next.version()));
  }

  private static DirectoryEffect unsubscribe(ServiceId service, NodeId source) {
    return new DirectoryEffect.Send(source, new DirectoryPeerMessage.Unsubscribe(service));
  }

  private static DirectoryEffect subscribe(ServiceId service, NodeId source, long version) {
    return new DirectoryEffect.Send(source, new DirectoryPeerMessage.Subscribe(service, version));
  }

  /**
   * Returns the directory node for an attempt. Ingress nodes begin with different directory nodes
   * of a service, which spreads the subscribers over them.
   */
  private static NodeId selectSource(
      DirectoryState state, ServiceId service, Vector<NodeId> directoryNodes, int attempt) {
    NodeId self = state.self().node();
    if (directoryNodes.isEmpty()) {
      return self;
    }
    long hash = StableHash.of(StableHash.of(self.value()), StableHash.of(service.value())) >>> 1;
    return directoryNodes.get(
        (int) ((hash % directoryNodes.size() + attempt) % directoryNodes.size()));
  }

  private static Step<DirectoryState, DirectoryEffect> updateRouting(
      DirectoryState state, ServiceId service) {
    Subscription subscription = state.subscriptions().get(service).get();
    Vector<Endpoint> usable =
        subscription.endpoints().filter(endpoint -> state.liveNodes().isLive(endpoint.host()));
    boolean conclusive = !usable.isEmpty() || subscription.hasCompleteSubset();
    Vector<Reply<Boolean>> completedLookups =
        conclusive ? subscription.pendingLookups() : Vector.empty();
    Step<DirectoryState, DirectoryEffect> step =
        subscription.routedEndpoints().contains(usable)
            ? Step.to(state)
            : Step.to(
                state.withSubscription(service, subscription.withRoutedEndpoints(usable)),
                new DirectoryEffect.UpdateRouting(service, usable));
    if (completedLookups.isEmpty()) {
      return step;
    }
    Subscription updated = step.state().subscriptions().get(service).get();
    return step.then(s -> Step.to(s.withSubscription(service, updated.withoutPendingLookups())))
        .withAll(
            completedLookups.map(
                reply -> new DirectoryEffect.CompleteLookup(reply, !usable.isEmpty())));
  }
}
