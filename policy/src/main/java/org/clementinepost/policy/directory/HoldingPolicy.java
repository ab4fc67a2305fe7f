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
final class HoldingPolicy {
  private static final long SETTLE_MILLIS = 2_000;
  private static final long HOST_LIFETIME_MILLIS = 900_000;
  private static final long SUBSCRIBER_LIFETIME_MILLIS = 360_000;

  private HoldingPolicy() {}

  /** A host has told of its backend servers. */
  static Step<DirectoryState, DirectoryEffect> published(
      DirectoryState state, DirectoryPeerMessage.Published published, long nowMillis) {
    HeldService held = held(state, published.service(), nowMillis);
    if (isOlder(held.hosts().get(published.host()), published)) {
      return Step.to(state);
    }
    HeldService.HostEntry entry = new HeldService.HostEntry(published, nowMillis);
    Map<NodeId, HeldService.HostEntry> hosts =
        published.endpoints().isEmpty()
            ? held.hosts().remove(published.host())
            : held.hosts().put(published.host(), entry);
    return Step.to(state.withHeld(published.service(), held.withHosts(hosts)));
  }

  private static boolean isOlder(
      Option<HeldService.HostEntry> known, DirectoryPeerMessage.Published next) {
    return known
        .map(HeldService.HostEntry::published)
        .exists(
            last ->
                last.incarnation() > next.incarnation()
                    || (last.incarnation() == next.incarnation()
                        && last.sequence() > next.sequence()));
  }

  private static HeldService held(DirectoryState state, ServiceId service, long nowMillis) {
    return state.held().getOrElse(service, HeldService.since(nowMillis));
  }

  /** An ingress node wants to hear of a service: it is answered unless it has the newest. */
  static Step<DirectoryState, DirectoryEffect> subscribed(
      DirectoryState state, NodeId ingress, DirectoryPeerMessage.Subscribe ask, long nowMillis) {
    ServiceId service = ask.service();
    HeldService held = held(state, service, nowMillis);
    HeldService.Subscriber fresh = new HeldService.Subscriber(nowMillis, 0, false, Vector.empty());
    HeldService.Subscriber subscriber =
        held.subscribers()
            .get(ingress)
            .filter(known -> known.version() == ask.version())
            .map(
                known ->
                    new HeldService.Subscriber(
                        nowMillis, known.version(), known.complete(), known.endpoints()))
            .getOrElse(fresh);
    HeldService next = held.withSubscribers(held.subscribers().put(ingress, subscriber));
    return tell(state.withHeld(service, next), service, next, ingress);
  }

  /** An ingress node no longer uses a service. */
  static Step<DirectoryState, DirectoryEffect> unsubscribed(
      DirectoryState state, NodeId ingress, ServiceId service) {
    return Step.to(
        state
            .held()
            .get(service)
            .map(
                held ->
                    state.withHeld(
                        service, held.withSubscribers(held.subscribers().remove(ingress))))
            .getOrElse(state));
  }

  /** Hosts have come or gone: their backend servers enter or leave the subsets. */
  static DirectoryState moved(DirectoryState state, Fleet.Change change) {
    DirectoryState next = state;
    for (var entry : state.held()) {
      boolean touched =
          change.joined().appendAll(change.left()).exists(entry._2.hosts()::containsKey);
      if (touched) {
        next = next.withHeld(entry._1, entry._2.withChanged(true));
      }
    }
    return next;
  }

  /** Time has passed: tells subscribers of changes. */
  static Step<DirectoryState, DirectoryEffect> tick(DirectoryState state, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.held()) {
      HeldService held = entry._2;
      boolean settles = !held.settled() && nowMillis - held.sinceMillis() >= SETTLE_MILLIS;
      if (held.changed() || settles) {
        HeldService next = settles ? held.withSettled() : held;
        step = step.then(s -> tellAll(s, entry._1, next));
      }
    }
    return step;
  }

  /** Forgets hosts and ingress nodes that no longer repeat what they said. */
  static DirectoryState forget(DirectoryState state, long nowMillis) {
    DirectoryState next = state;
    for (var entry : state.held()) {
      HeldService held = entry._2;
      Map<NodeId, HeldService.HostEntry> hosts =
          held.hosts().filterValues(host -> nowMillis - host.heardMillis() < HOST_LIFETIME_MILLIS);
      Map<NodeId, HeldService.Subscriber> subscribers =
          held.subscribers()
              .filterValues(
                  ingress -> nowMillis - ingress.heardMillis() < SUBSCRIBER_LIFETIME_MILLIS);
      boolean lost = hosts.size() < held.hosts().size();
      HeldService kept =
          held.withHosts(hosts).withSubscribers(subscribers).withChanged(held.changed() || lost);
      next = kept.isEmpty() ? next.withoutHeld(entry._1) : next.withHeld(entry._1, kept);
    }
    return next;
  }

  private static Step<DirectoryState, DirectoryEffect> tellAll(
      DirectoryState state, ServiceId service, HeldService changed) {
    HeldService held = changed.withChanged(false);
    Step<DirectoryState, DirectoryEffect> step = Step.to(state.withHeld(service, held));
    for (NodeId ingress : held.subscribers().keySet()) {
      step = step.then(s -> tell(s, service, held, ingress));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> tell(
      DirectoryState state, ServiceId service, HeldService held, NodeId ingress) {
    HeldService.Subscriber last = held.subscribers().get(ingress).get();
    Vector<Endpoint> subset =
        SubsetPolicy.subset(held.endpoints(state.fleet()), ingress, held.subscribers().size());
    boolean told =
        last.version() > 0 && last.complete() == held.settled() && last.endpoints().equals(subset);
    if (told) {
      return Step.to(state);
    }
    long version = state.version() + 1;
    HeldService.Subscriber next =
        new HeldService.Subscriber(last.heardMillis(), version, held.settled(), subset);
    HeldService present = state.held().get(service).get();
    return Step.to(
        state
            .withVersion(version)
            .withHeld(service, present.withSubscribers(present.subscribers().put(ingress, next))),
        new DirectoryEffect.Send(
            ingress,
            new DirectoryPeerMessage.Subset(
                service, state.self().incarnation(), version, held.settled(), subset)));
  }
}
