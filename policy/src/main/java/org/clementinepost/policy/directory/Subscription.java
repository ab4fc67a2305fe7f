package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;

/**
 * The subscription of an ingress node to a service that its requests need.
 *
 * @param directoryNodes the directory nodes of the service
 * @param source the directory node that a subscription was last sent to
 * @param incarnation the incarnation of the source at its last subset; zero before the first
 * @param version the version of the last subset of the source
 * @param endpoints the known backend servers, including those of hosts that are not live
 * @param routedEndpoints the endpoints that routing was last given; none before the first time
 * @param lastUsedMillis when a request last needed the service
 * @param lastSubscribeMillis when a subscription was last sent
 * @param attempts the directory nodes asked since the last complete subset
 * @param pendingLookups the requests that wait for the first subset
 */
public record Subscription(
    Vector<NodeId> directoryNodes,
    NodeId source,
    long incarnation,
    long version,
    Vector<Endpoint> endpoints,
    Option<Vector<Endpoint>> routedEndpoints,
    long lastUsedMillis,
    long lastSubscribeMillis,
    int attempts,
    Vector<Reply<Boolean>> pendingLookups) {

  static Subscription forLookup(
      Vector<NodeId> directoryNodes, NodeId source, Reply<Boolean> first, long nowMillis) {
    return new Builder()
        .directoryNodes(directoryNodes)
        .source(source)
        .lastUsedMillis(nowMillis)
        .lastSubscribeMillis(nowMillis)
        .attempts(1)
        .pendingLookups(Vector.of(first))
        .build();
  }

  /** Whether the source has sent a complete subset since it was selected. */
  boolean hasCompleteSubset() {
    return attempts == 0;
  }

  Subscription withLastUsed(long nowMillis) {
    return toBuilder().lastUsedMillis(nowMillis).build();
  }

  Subscription withPendingLookup(Reply<Boolean> reply) {
    return toBuilder().pendingLookups(pendingLookups.append(reply)).build();
  }

  Subscription withoutPendingLookups() {
    return toBuilder().pendingLookups(Vector.empty()).build();
  }

  Subscription withDirectoryNodes(Vector<NodeId> next) {
    return toBuilder().directoryNodes(next).build();
  }

  /**
   * Records a subscription sent to a source. Versions start again with another source, because each
   * directory node numbers its own subsets.
   */
  Subscription withSubscribeSent(NodeId nextSource, long nowMillis) {
    Builder updated =
        toBuilder().source(nextSource).lastSubscribeMillis(nowMillis).attempts(attempts + 1);
    return nextSource.equals(source) ? updated.build() : updated.incarnation(0).version(0).build();
  }

  Subscription withRefreshSent(long nowMillis) {
    return toBuilder().lastSubscribeMillis(nowMillis).build();
  }

  Subscription withSubset(DirectoryPeerMessage.Subset subset, Vector<Endpoint> next) {
    return toBuilder()
        .incarnation(subset.incarnation())
        .version(subset.version())
        .endpoints(next)
        .attempts(subset.complete() ? 0 : Math.max(1, attempts))
        .build();
  }

  Subscription withRoutedEndpoints(Vector<Endpoint> next) {
    return toBuilder().routedEndpoints(Option.some(next)).build();
  }

  private Builder toBuilder() {
    return new Builder()
        .directoryNodes(directoryNodes)
        .source(source)
        .incarnation(incarnation)
        .version(version)
        .endpoints(endpoints)
        .routedEndpoints(routedEndpoints)
        .lastUsedMillis(lastUsedMillis)
        .lastSubscribeMillis(lastSubscribeMillis)
        .attempts(attempts)
        .pendingLookups(pendingLookups);
  }

  private static final class Builder {
    private Vector<NodeId> directoryNodes = Vector.empty();
    private NodeId source;
    private long incarnation;
    private long version;
    private Vector<Endpoint> endpoints = Vector.empty();
    private Option<Vector<Endpoint>> routedEndpoints = Option.none();
    private long lastUsedMillis;
    private long lastSubscribeMillis;
    private int attempts;
    private Vector<Reply<Boolean>> pendingLookups = Vector.empty();

    Builder directoryNodes(Vector<NodeId> value) {
      directoryNodes = value;
      return this;
    }

    Builder source(NodeId value) {
      source = value;
      return this;
    }

    Builder incarnation(long value) {
      incarnation = value;
      return this;
    }

    Builder version(long value) {
      version = value;
      return this;
    }

    Builder endpoints(Vector<Endpoint> value) {
      endpoints = value;
      return this;
    }

    Builder routedEndpoints(Option<Vector<Endpoint>> value) {
      routedEndpoints = value;
      return this;
    }

    Builder lastUsedMillis(long value) {
      lastUsedMillis = value;
      return this;
    }

    Builder lastSubscribeMillis(long value) {
      lastSubscribeMillis = value;
      return this;
    }

    Builder attempts(int value) {
      attempts = value;
      return this;
    }

    Builder pendingLookups(Vector<Reply<Boolean>> value) {
      pendingLookups = value;
      return this;
    }

    Subscription build() {
      return new Subscription(
          directoryNodes,
          source,
          incarnation,
          version,
          endpoints,
          routedEndpoints,
          lastUsedMillis,
          lastSubscribeMillis,
          attempts,
          pendingLookups);
    }
  }
}
