package org.clementinepost.policy.directory;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Step;

/**
 * Decides what a directory node holds of a service and whom it tells.
 *
 * <p>All of it is soft state that hosts and ingress nodes repeat. Until the hosts have had the time
 * to tell a new holder, its subsets are marked as incomplete.
 */
final class DirectoryNodePolicy {
  private static final long WARM_UP_MILLIS = 2_000;
  private static final long PUBLICATION_TTL_MILLIS = 900_000;
  private static final long SUBSCRIBER_TTL_MILLIS = 360_000;

  private DirectoryNodePolicy() {}

  /** A host has told of its backend servers. */
  static Step<DirectoryState, DirectoryEffect> onPublish(
      DirectoryState state, DirectoryPeerMessage.Publish published, long nowMillis) {
    DirectoryEntry held = entryFor(state, published.service(), nowMillis);
    if (isOutdated(held.publications().get(published.host()), published)) {
      return Step.to(state);
    }
    DirectoryEntry.Publication entry = new DirectoryEntry.Publication(published, nowMillis);
    Map<NodeId, DirectoryEntry.Publication> hosts =
        published.endpoints().isEmpty()
            ? held.publications().remove(published.host())
            : held.publications().put(published.host(), entry);
    return Step.to(state.withEntry(published.service(), held.withPublications(hosts)));
  }

  private static boolean isOutdated(
      Option<DirectoryEntry.Publication> known, DirectoryPeerMessage.Publish next) {
    return known
        .map(DirectoryEntry.Publication::message)
        .exists(
            last ->
                last.incarnation() > next.incarnation()
                    || (last.incarnation() == next.incarnation()
                        && last.sequence() > next.sequence()));
  }

  private static DirectoryEntry entryFor(DirectoryState state, ServiceId service, long nowMillis) {
    return state.entries().getOrElse(service, DirectoryEntry.create(nowMillis));
  }

  /** An ingress node wants to hear of a service: it is answered unless it has the newest. */
  static Step<DirectoryState, DirectoryEffect> onSubscribe(
      DirectoryState state, NodeId ingress, DirectoryPeerMessage.Subscribe ask, long nowMillis) {
    ServiceId service = ask.service();
    DirectoryEntry held = entryFor(state, service, nowMillis);
    DirectoryEntry.Subscriber fresh =
        new DirectoryEntry.Subscriber(nowMillis, 0, false, Vector.empty());
    DirectoryEntry.Subscriber subscriber =
        held.subscribers()
            .get(ingress)
            .filter(known -> known.version() == ask.version())
            .map(
                known ->
                    new DirectoryEntry.Subscriber(
                        nowMillis, known.version(), known.complete(), known.endpoints()))
            .getOrElse(fresh);
    DirectoryEntry next = held.withSubscribers(held.subscribers().put(ingress, subscriber));
    return notifySubscriber(state.withEntry(service, next), service, next, ingress);
  }

  /** An ingress node no longer uses a service. */
  static Step<DirectoryState, DirectoryEffect> onUnsubscribe(
      DirectoryState state, NodeId ingress, ServiceId service) {
    return Step.to(
        state
            .entries()
            .get(service)
            .map(
                held ->
                    state.withEntry(
                        service, held.withSubscribers(held.subscribers().remove(ingress))))
            .getOrElse(state));
  }

  /** Hosts have come or gone: their backend servers enter or leave the subsets. */
  static DirectoryState onMembersChanged(DirectoryState state, LiveNodes.Change change) {
    DirectoryState next = state;
    for (var entry : state.entries()) {
      boolean touched =
          change.joined().appendAll(change.left()).exists(entry._2.publications()::containsKey);
      if (touched) {
        next = next.withEntry(entry._1, entry._2.withChanged(true));
      }
    }
    return next;
  }

  /** Time has passed: tells subscribers of changes. */
  static Step<DirectoryState, DirectoryEffect> onTick(DirectoryState state, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.entries()) {
      DirectoryEntry held = entry._2;
      boolean settles = !held.warmedUp() && nowMillis - held.createdMillis() >= WARM_UP_MILLIS;
      if (held.changed() || settles) {
        DirectoryEntry next = settles ? held.withWarmedUp() : held;
        step = step.then(s -> notifySubscribers(s, entry._1, next));
      }
    }
    return step;
  }

  /** Forgets hosts and ingress nodes that no longer repeat what they said. */
  static DirectoryState expire(DirectoryState state, long nowMillis) {
    DirectoryState next = state;
    for (var entry : state.entries()) {
      DirectoryEntry held = entry._2;
      Map<NodeId, DirectoryEntry.Publication> hosts =
          held.publications()
              .filterValues(host -> nowMillis - host.receivedMillis() < PUBLICATION_TTL_MILLIS);
      Map<NodeId, DirectoryEntry.Subscriber> subscribers =
          held.subscribers()
              .filterValues(ingress -> nowMillis - ingress.renewedMillis() < SUBSCRIBER_TTL_MILLIS);
      boolean lost = hosts.size() < held.publications().size();
      DirectoryEntry kept =
          held.withPublications(hosts)
              .withSubscribers(subscribers)
              .withChanged(held.changed() || lost);
      next = kept.isEmpty() ? next.withoutEntry(entry._1) : next.withEntry(entry._1, kept);
    }
    return next;
  }

  private static Step<DirectoryState, DirectoryEffect> notifySubscribers(
      DirectoryState state, ServiceId service, DirectoryEntry changed) {
    DirectoryEntry held = changed.withChanged(false);
    Step<DirectoryState, DirectoryEffect> step = Step.to(state.withEntry(service, held));
    for (NodeId ingress : held.subscribers().keySet()) {
      step = step.then(s -> notifySubscriber(s, service, held, ingress));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> notifySubscriber(
      DirectoryState state, ServiceId service, DirectoryEntry held, NodeId ingress) {
    DirectoryEntry.Subscriber last = held.subscribers().get(ingress).get();
    Vector<Endpoint> subset =
        SubsetPolicy.subset(
            held.liveEndpoints(state.liveNodes()), ingress, held.subscribers().size());
    boolean told =
        last.version() > 0 && last.complete() == held.warmedUp() && last.endpoints().equals(subset);
    if (told) {
      return Step.to(state);
    }
    long version = state.subsetVersion() + 1;
    DirectoryEntry.Subscriber next =
        new DirectoryEntry.Subscriber(last.renewedMillis(), version, held.warmedUp(), subset);
    DirectoryEntry present = state.entries().get(service).get();
    return Step.to(
        state
            .withSubsetVersion(version)
            .withEntry(service, present.withSubscribers(present.subscribers().put(ingress, next))),
        new DirectoryEffect.Send(
            ingress,
            new DirectoryPeerMessage.Subset(
                service, state.self().incarnation(), version, held.warmedUp(), subset)));
  }
}
