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
 * Decides what a directory node stores about its services and which subscribers it notifies.
 *
 * <p>All entries are soft state that hosts and ingress nodes refresh periodically. Until the hosts
 * have had time to publish to a new directory node, it marks its subsets as incomplete.
 */
final class DirectoryNodePolicy {
  private static final long WARM_UP_MILLIS = 2_000;
  private static final long PUBLICATION_TTL_MILLIS = 900_000;
  private static final long SUBSCRIBER_TTL_MILLIS = 360_000;

  private DirectoryNodePolicy() {}

  /** Stores the publication of a host. */
  static Step<DirectoryState, DirectoryEffect> onPublish(
      DirectoryState state, DirectoryPeerMessage.Publish publish, long nowMillis) {
    DirectoryEntry entry = entryFor(state, publish.service(), nowMillis);
    if (isOutdated(entry.publications().get(publish.host()), publish)) {
      return Step.to(state);
    }
    DirectoryEntry.Publication publication = new DirectoryEntry.Publication(publish, nowMillis);
    Map<NodeId, DirectoryEntry.Publication> publications =
        publish.endpoints().isEmpty()
            ? entry.publications().remove(publish.host())
            : entry.publications().put(publish.host(), publication);
    return Step.to(state.withEntry(publish.service(), entry.withPublications(publications)));
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

  /** Adds or renews a subscriber, and sends it a subset unless it already has the latest. */
  static Step<DirectoryState, DirectoryEffect> onSubscribe(
      DirectoryState state,
      NodeId ingress,
      DirectoryPeerMessage.Subscribe subscribe,
      long nowMillis) {
    ServiceId service = subscribe.service();
    DirectoryEntry entry = entryFor(state, service, nowMillis);
    DirectoryEntry.Subscriber newSubscriber =
        new DirectoryEntry.Subscriber(nowMillis, 0, false, Vector.empty());
    DirectoryEntry.Subscriber subscriber =
        entry
            .subscribers()
            .get(ingress)
            .filter(known -> known.version() == subscribe.version())
            .map(
                known ->
                    new DirectoryEntry.Subscriber(
                        nowMillis, known.version(), known.complete(), known.endpoints()))
            .getOrElse(newSubscriber);
    DirectoryEntry next = entry.withSubscribers(entry.subscribers().put(ingress, subscriber));
    return notifySubscriber(state.withEntry(service, next), service, next, ingress);
  }

  /** Removes a subscriber. */
  static Step<DirectoryState, DirectoryEffect> onUnsubscribe(
      DirectoryState state, NodeId ingress, ServiceId service) {
    return Step.to(
        state
            .entries()
            .get(service)
            .map(
                entry ->
                    state.withEntry(
                        service, entry.withSubscribers(entry.subscribers().remove(ingress))))
            .getOrElse(state));
  }

  /**
   * Marks the entries that have publications of joined or left hosts as changed: the backend
   * servers of these hosts enter or leave the subsets.
   */
  static DirectoryState onMembersChanged(DirectoryState state, LiveNodes.Change change) {
    DirectoryState next = state;
    for (var serviceEntry : state.entries()) {
      boolean affected =
          change
              .joined()
              .appendAll(change.left())
              .exists(serviceEntry._2.publications()::containsKey);
      if (affected) {
        next = next.withEntry(serviceEntry._1, serviceEntry._2.withChanged(true));
      }
    }
    return next;
  }

  /** Sends new subsets to the subscribers of changed entries. */
  static Step<DirectoryState, DirectoryEffect> onTick(DirectoryState state, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var serviceEntry : state.entries()) {
      DirectoryEntry entry = serviceEntry._2;
      boolean becomesWarm =
          !entry.warmedUp() && nowMillis - entry.createdMillis() >= WARM_UP_MILLIS;
      if (entry.changed() || becomesWarm) {
        DirectoryEntry next = becomesWarm ? entry.withWarmedUp() : entry;
        step = step.then(s -> notifySubscribers(s, serviceEntry._1, next));
      }
    }
    return step;
  }

  /** Removes publications and subscribers that have not been refreshed within their TTL. */
  static DirectoryState expire(DirectoryState state, long nowMillis) {
    DirectoryState next = state;
    for (var serviceEntry : state.entries()) {
      DirectoryEntry entry = serviceEntry._2;
      Map<NodeId, DirectoryEntry.Publication> publications =
          entry
              .publications()
              .filterValues(
                  publication -> nowMillis - publication.receivedMillis() < PUBLICATION_TTL_MILLIS);
      Map<NodeId, DirectoryEntry.Subscriber> subscribers =
          entry
              .subscribers()
              .filterValues(
                  subscriber -> nowMillis - subscriber.renewedMillis() < SUBSCRIBER_TTL_MILLIS);
      boolean anyExpired = publications.size() < entry.publications().size();
      DirectoryEntry remaining =
          entry
              .withPublications(publications)
              .withSubscribers(subscribers)
              .withChanged(entry.changed() || anyExpired);
      next =
          remaining.isEmpty()
              ? next.withoutEntry(serviceEntry._1)
              : next.withEntry(serviceEntry._1, remaining);
    }
    return next;
  }

  private static Step<DirectoryState, DirectoryEffect> notifySubscribers(
      DirectoryState state, ServiceId service, DirectoryEntry changed) {
    DirectoryEntry entry = changed.withChanged(false);
    Step<DirectoryState, DirectoryEffect> step = Step.to(state.withEntry(service, entry));
    for (NodeId ingress : entry.subscribers().keySet()) {
      step = step.then(s -> notifySubscriber(s, service, entry, ingress));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> notifySubscriber(
      DirectoryState state, ServiceId service, DirectoryEntry entry, NodeId ingress) {
    DirectoryEntry.Subscriber last = entry.subscribers().get(ingress).get();
    Vector<Endpoint> subset =
        SubsetPolicy.subset(
            entry.liveEndpoints(state.liveNodes()), ingress, entry.subscribers().size());
    boolean upToDate =
        last.version() > 0
            && last.complete() == entry.warmedUp()
            && last.endpoints().equals(subset);
    if (upToDate) {
      return Step.to(state);
    }
    long version = state.subsetVersion() + 1;
    DirectoryEntry.Subscriber next =
        new DirectoryEntry.Subscriber(last.renewedMillis(), version, entry.warmedUp(), subset);
    DirectoryEntry current = state.entries().get(service).get();
    return Step.to(
        state
            .withSubsetVersion(version)
            .withEntry(service, current.withSubscribers(current.subscribers().put(ingress, next))),
        new DirectoryEffect.Send(
            ingress,
            new DirectoryPeerMessage.Subset(
                service, state.self().incarnation(), version, entry.warmedUp(), subset)));
  }
}
