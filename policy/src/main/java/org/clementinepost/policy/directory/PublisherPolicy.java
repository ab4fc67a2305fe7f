package org.clementinepost.policy.directory;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Step;

/**
 * Decides what a host publishes about its backend servers, and to which directory nodes.
 *
 * <p>A change is sent at once to the directory nodes of the service, and a new directory node is
 * sent the complete list. A slow periodic refresh makes up for lost messages.
 */
final class PublisherPolicy {
  private static final long REFRESH_INTERVAL_MILLIS = 300_000;

  private PublisherPolicy() {}

  /** Publishes the services whose backend servers of this host have changed. */
  static Step<DirectoryState, DirectoryEffect> onLocalEndpointsChanged(
      DirectoryState state, Vector<Endpoint> endpoints, long nowMillis) {
    Map<ServiceId, Vector<Endpoint>> next = endpoints.groupBy(Endpoint::service);
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (ServiceId service : next.keySet().addAll(state.published().keySet())) {
      Vector<Endpoint> current = next.getOrElse(service, Vector.empty());
      step = step.then(s -> publishIfChanged(s, service, current, nowMillis));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> publishIfChanged(
      DirectoryState state, ServiceId service, Vector<Endpoint> endpoints, long nowMillis) {
    boolean unchanged =
        state.published().get(service).exists(old -> old.endpoints().equals(endpoints));
    if (unchanged) {
      return Step.to(state);
    }
    Vector<NodeId> directoryNodes =
        state
            .published()
            .get(service)
            .map(PublishedService::directoryNodes)
            .getOrElse(() -> state.liveNodes().directoryNodes(service));
    return publish(state, service, endpoints, directoryNodes, directoryNodes, nowMillis);
  }

  /** Publishes services to their new directory nodes after a change of the live nodes. */
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
      PublishedService publishedService,
      LiveNodes.Change change,
      long nowMillis) {
    Vector<NodeId> directoryNodes = state.liveNodes().directoryNodes(service);
    Vector<NodeId> recipients =
        directoryNodes.filter(
            node ->
                !publishedService.directoryNodes().contains(node)
                    || change.joined().contains(node));
    return publish(
        state, service, publishedService.endpoints(), directoryNodes, recipients, nowMillis);
  }

  /** Publishes again the services that are due for a refresh. */
  static Step<DirectoryState, DirectoryEffect> onTick(DirectoryState state, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var serviceEntry : state.published()) {
      PublishedService publishedService = serviceEntry._2;
      if (publishedService.nextRefreshMillis() <= nowMillis) {
        step =
            step.then(
                s ->
                    publish(
                        s,
                        serviceEntry._1,
                        publishedService.endpoints(),
                        publishedService.directoryNodes(),
                        publishedService.directoryNodes(),
                        nowMillis));
      }
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> publish(
      DirectoryState state,
      ServiceId service,
      Vector<Endpoint> endpoints,
      Vector<NodeId> directoryNodes,
      Vector<NodeId> recipients,
      long nowMillis) {
    long sequence = state.publishSequence() + 1;
    PublishedService next =
        new PublishedService(endpoints, directoryNodes, nowMillis + REFRESH_INTERVAL_MILLIS);
    Map<ServiceId, PublishedService> nextPublished =
        endpoints.isEmpty()
            ? state.published().remove(service)
            : state.published().put(service, next);
    DirectoryPeerMessage publish =
        new DirectoryPeerMessage.Publish(
            state.self().node(), state.self().incarnation(), sequence, service, endpoints);
    return Step.to(
        state.withPublished(nextPublished, sequence),
        recipients.map(node -> new DirectoryEffect.Send(node, publish)));
  }
}
