package org.clementinepost.policy.directory;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Step;

/**
 * Decides what a host tells of its backend servers, and to whom.
 *
 * <p>A change goes at once to the nodes that hold the service, and the whole again to a node that
 * begins to hold it. The slow repetition mends what was lost.
 */
final class HostingPolicy {
  private static final long REFRESH_MILLIS = 300_000;

  private HostingPolicy() {}

  /** The backend servers behind this node have changed. */
  static Step<DirectoryState, DirectoryEffect> hosted(
      DirectoryState state, Vector<Endpoint> endpoints, long nowMillis) {
    Map<ServiceId, Vector<Endpoint>> next = endpoints.groupBy(Endpoint::service);
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (ServiceId service : next.keySet().addAll(state.hosted().keySet())) {
      Vector<Endpoint> now = next.getOrElse(service, Vector.empty());
      step = step.then(s -> changed(s, service, now, nowMillis));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> changed(
      DirectoryState state, ServiceId service, Vector<Endpoint> endpoints, long nowMillis) {
    boolean same = state.hosted().get(service).exists(old -> old.endpoints().equals(endpoints));
    if (same) {
      return Step.to(state);
    }
    Vector<NodeId> holders =
        state
            .hosted()
            .get(service)
            .map(HostedService::holders)
            .getOrElse(() -> state.fleet().holders(service));
    return publish(state, service, endpoints, holders, holders, nowMillis);
  }

  /** The fleet has changed: tells the nodes that begin to hold a service. */
  static Step<DirectoryState, DirectoryEffect> moved(
      DirectoryState state, Fleet.Change change, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.hosted()) {
      if (state.fleet().moves(entry._1, entry._2.holders(), change)) {
        step = step.then(s -> moved(s, entry._1, entry._2, change, nowMillis));
      }
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> moved(
      DirectoryState state,
      ServiceId service,
      HostedService hosted,
      Fleet.Change change,
      long nowMillis) {
    Vector<NodeId> holders = state.fleet().holders(service);
    Vector<NodeId> untold =
        holders.filter(node -> !hosted.holders().contains(node) || change.joined().contains(node));
    return publish(state, service, hosted.endpoints(), holders, untold, nowMillis);
  }

  /** Time has passed: repeats what is due. */
  static Step<DirectoryState, DirectoryEffect> tick(DirectoryState state, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.hosted()) {
      HostedService hosted = entry._2;
      if (hosted.refreshMillis() <= nowMillis) {
        step =
            step.then(
                s ->
                    publish(
                        s,
                        entry._1,
                        hosted.endpoints(),
                        hosted.holders(),
                        hosted.holders(),
                        nowMillis));
      }
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> publish(
      DirectoryState state,
      ServiceId service,
      Vector<Endpoint> endpoints,
      Vector<NodeId> holders,
      Vector<NodeId> told,
      long nowMillis) {
    long sequence = state.sequence() + 1;
    HostedService next = new HostedService(endpoints, holders, nowMillis + REFRESH_MILLIS);
    Map<ServiceId, HostedService> hosted =
        endpoints.isEmpty() ? state.hosted().remove(service) : state.hosted().put(service, next);
    DirectoryPeerMessage published =
        new DirectoryPeerMessage.Published(
            state.self().node(), state.self().incarnation(), sequence, service, endpoints);
    return Step.to(
        state.withHosted(hosted, sequence),
        told.map(node -> new DirectoryEffect.Send(node, published)));
  }
}
