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
final class PublisherPolicy {
  private static final long REFRESH_INTERVAL_MILLIS = 300_000;

  private PublisherPolicy() {}

  /** The backend servers behind this node have changed. */
  static Step<DirectoryState, DirectoryEffect> onLocalEndpointsChanged(
      DirectoryState state, Vector<Endpoint> endpoints, long nowMillis) {
    Map<ServiceId, Vector<Endpoint>> next = endpoints.groupBy(Endpoint::service);
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (ServiceId service : next.keySet().addAll(state.published().keySet())) {
      Vector<Endpoint> now = next.getOrElse(service, Vector.empty());
      step = step.then(s -> publishIfChanged(s, service, now, nowMillis));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> publishIfChanged(
      DirectoryState state, ServiceId service, Vector<Endpoint> endpoints, long nowMillis) {
    boolean same = state.published().get(service).exists(old -> old.endpoints().equals(endpoints));
    if (same) {
      return Step.to(state);
    }
    Vector<NodeId> holders =
        state
            .published()
            .get(service)
            .map(PublishedService::directoryNodes)
            .getOrElse(() -> state.liveNodes().directoryNodes(service));
    return publish(state, service, endpoints, holders, holders, nowMillis);
  }

  /** The fleet has changed: tells the nodes that begin to hold a service. */
  static Step<DirectoryState, DirectoryEffect> onMembersChanged(
      DirectoryState state, LiveNodes.Change change, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.published()) {
      if (state.liveNodes().affectsDirectoryNodes(entry._1, entry._2.directoryNodes(), change)) {
        step = step.then(s -> onMembersChanged(s, entry._1, entry._2, change, nowMillis));
      }
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> onMembersChanged(
      DirectoryState state,
      ServiceId service,
      PublishedService hosted,
      LiveNodes.Change change,
      long nowMillis) {
    Vector<NodeId> holders = state.liveNodes().directoryNodes(service);
    Vector<NodeId> untold =
        holders.filter(
            node -> !hosted.directoryNodes().contains(node) || change.joined().contains(node));
    return publish(state, service, hosted.endpoints(), holders, untold, nowMillis);
  }

  /** Time has passed: repeats what is due. */
  static Step<DirectoryState, DirectoryEffect> onTick(DirectoryState state, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.published()) {
      PublishedService hosted = entry._2;
      if (hosted.nextRefreshMillis() <= nowMillis) {
        step =
            step.then(
                s ->
                    publish(
                        s,
                        entry._1,
                        hosted.endpoints(),
                        hosted.directoryNodes(),
                        hosted.directoryNodes(),
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
    long sequence = state.publishSequence() + 1;
    PublishedService next =
        new PublishedService(endpoints, holders, nowMillis + REFRESH_INTERVAL_MILLIS);
    Map<ServiceId, PublishedService> hosted =
        endpoints.isEmpty()
            ? state.published().remove(service)
            : state.published().put(service, next);
    DirectoryPeerMessage published =
        new DirectoryPeerMessage.Publish(
            state.self().node(), state.self().incarnation(), sequence, service, endpoints);
    return Step.to(
        state.withPublished(hosted, sequence),
        told.map(node -> new DirectoryEffect.Send(node, published)));
  }
}
