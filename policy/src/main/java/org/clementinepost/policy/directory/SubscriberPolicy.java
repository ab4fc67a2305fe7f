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
 * Decides what an ingress node asks of the directory and what routing is told.
 *
 * <p>A service is learned when a request first needs it and dropped when none has for long. What is
 * known stays in use until a directory node has given a complete answer; the host has the last word
 * on what is out of date.
 */
final class SubscriberPolicy {
  private static final long RETRY_INTERVAL_MILLIS = 400;
  private static final long MAX_RETRY_INTERVAL_MILLIS = 10_000;
  private static final long REFRESH_INTERVAL_MILLIS = 120_000;
  private static final long UNUSED_TTL_MILLIS = 600_000;
  private static final long LAST_USED_GRANULARITY_MILLIS = 10_000;
  private static final int MAX_LOOKUP_ATTEMPTS = 6;

  private SubscriberPolicy() {}

  /** A request needs a service. */
  static Step<DirectoryState, DirectoryEffect> onLookup(
      DirectoryState state, ServiceId service, Reply<Boolean> known, long nowMillis) {
    if (!state.subscriptions().containsKey(service)) {
      Vector<NodeId> holders = state.liveNodes().directoryNodes(service);
      NodeId source = selectSource(state, service, holders, 0);
      return sendSubscribe(
          state, service, Subscription.forLookup(holders, source, known, nowMillis));
    }
    Subscription learned = state.subscriptions().get(service).get();
    boolean stale = nowMillis - learned.lastUsedMillis() >= LAST_USED_GRANULARITY_MILLIS;
    DirectoryState used =
        stale ? state.withSubscription(service, learned.withLastUsed(nowMillis)) : state;
    boolean someTold = learned.routedEndpoints().exists(told -> !told.isEmpty());
    if (someTold || learned.hasCompleteSubset()) {
      return Step.to(used, new DirectoryEffect.CompleteLookup(known, someTold));
    }
    return Step.to(used.withSubscription(service, learned.withPendingLookup(known)));
  }

  /** A directory node has answered, or tells of a change. */
  static Step<DirectoryState, DirectoryEffect> onSubset(
      DirectoryState state, NodeId from, DirectoryPeerMessage.Subset subset) {
    boolean expected =
        state
            .subscriptions()
            .get(subset.service())
            .exists(learned -> learned.source().equals(from) && isNewer(subset, learned));
    if (!expected) {
      return Step.to(state);
    }
    Subscription learned = state.subscriptions().get(subset.service()).get();
    Vector<Endpoint> endpoints =
        subset.complete() ? subset.endpoints() : merge(learned.endpoints(), subset.endpoints());
    return updateRouting(
        state.withSubscription(subset.service(), learned.withSubset(subset, endpoints)),
        subset.service());
  }

  private static boolean isNewer(DirectoryPeerMessage.Subset subset, Subscription learned) {
    return subset.incarnation() > learned.incarnation()
        || (subset.incarnation() == learned.incarnation() && subset.version() > learned.version());
  }

  private static Vector<Endpoint> merge(Vector<Endpoint> known, Vector<Endpoint> next) {
    return known
        .reject(old -> next.exists(endpoint -> endpoint.server().equals(old.server())))
        .appendAll(next);
  }

  /** The fleet has changed: asks other directory nodes and leaves out hosts that are gone. */
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
      Subscription learned,
      LiveNodes.Change change,
      long nowMillis) {
    Vector<NodeId> holders = state.liveNodes().directoryNodes(service);
    DirectoryState next = state.withSubscription(service, learned.withDirectoryNodes(holders));
    boolean stays = holders.contains(learned.source()) && !change.left().contains(learned.source());
    return stays ? Step.to(next) : resubscribe(next, service, nowMillis);
  }

  /** Time has passed: asks again where no answer came, and drops what is not used. */
  static Step<DirectoryState, DirectoryEffect> onTick(DirectoryState state, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.subscriptions()) {
      step = step.then(s -> onTick(s, entry._1, entry._2, nowMillis));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> onTick(
      DirectoryState state, ServiceId service, Subscription learned, long nowMillis) {
    if (nowMillis - learned.lastUsedMillis() >= UNUSED_TTL_MILLIS) {
      return endSubscription(state, service, learned);
    }
    long askedMillis = nowMillis - learned.lastSubscribeMillis();
    if (!learned.hasCompleteSubset()) {
      long waitMillis =
          Math.min(
              MAX_RETRY_INTERVAL_MILLIS,
              RETRY_INTERVAL_MILLIS * Math.max(1, learned.attempts() / 2));
      return askedMillis >= waitMillis ? resubscribe(state, service, nowMillis) : Step.to(state);
    }
    if (askedMillis < REFRESH_INTERVAL_MILLIS) {
      return Step.to(state);
    }
    return Step.to(
        state.withSubscription(service, learned.withRefreshSent(nowMillis)),
        subscribe(service, learned.source(), learned.version()));
  }

  private static Step<DirectoryState, DirectoryEffect> endSubscription(
      DirectoryState state, ServiceId service, Subscription learned) {
    return Step.<DirectoryState, DirectoryEffect>to(
            state.withoutSubscription(service), unsubscribe(service, learned.source()))
        .with(new DirectoryEffect.UpdateRouting(service, Vector.empty()))
        .withAll(
            learned
                .pendingLookups()
                .map(reply -> new DirectoryEffect.CompleteLookup(reply, false)));
  }

  private static Step<DirectoryState, DirectoryEffect> resubscribe(
      DirectoryState state, ServiceId service, long nowMillis) {
    Subscription learned = state.subscriptions().get(service).get();
    NodeId source = selectSource(state, service, learned.directoryNodes(), learned.attempts());
    Subscription next = learned.withSubscribeSent(source, nowMillis);
    boolean givesUp = next.attempts() > MAX_LOOKUP_ATTEMPTS;
    Vector<Reply<Boolean>> refused = givesUp ? next.pendingLookups() : Vector.empty();
    Option<DirectoryEffect> leave =
        source.equals(learned.source())
            ? Option.none()
            : Option.some(unsubscribe(service, learned.source()));
    return sendSubscribe(state, service, givesUp ? next.withoutPendingLookups() : next)
        .withAll(leave)
        .withAll(refused.map(reply -> new DirectoryEffect.CompleteLookup(reply, false)));
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

  /** Each ingress node prefers another of the holders, so that they share the subscribers. */
  private static NodeId selectSource(
      DirectoryState state, ServiceId service, Vector<NodeId> holders, int attempt) {
    NodeId self = state.self().node();
    if (holders.isEmpty()) {
      return self;
    }
    long first = StableHash.of(StableHash.of(self.value()), StableHash.of(service.value())) >>> 1;
    return holders.get((int) ((first % holders.size() + attempt) % holders.size()));
  }

  private static Step<DirectoryState, DirectoryEffect> updateRouting(
      DirectoryState state, ServiceId service) {
    Subscription learned = state.subscriptions().get(service).get();
    Vector<Endpoint> usable =
        learned.endpoints().filter(endpoint -> state.liveNodes().isLive(endpoint.host()));
    boolean useful = !usable.isEmpty() || learned.hasCompleteSubset();
    Vector<Reply<Boolean>> answered = useful ? learned.pendingLookups() : Vector.empty();
    Step<DirectoryState, DirectoryEffect> step =
        learned.routedEndpoints().contains(usable)
            ? Step.to(state)
            : Step.to(
                state.withSubscription(service, learned.withRoutedEndpoints(usable)),
                new DirectoryEffect.UpdateRouting(service, usable));
    if (answered.isEmpty()) {
      return step;
    }
    Subscription told = step.state().subscriptions().get(service).get();
    return step.then(s -> Step.to(s.withSubscription(service, told.withoutPendingLookups())))
        .withAll(
            answered.map(reply -> new DirectoryEffect.CompleteLookup(reply, !usable.isEmpty())));
  }
}
