package org.clementinepost.policy.directory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.ServiceId;

/**
 * A node's state in the endpoint directory, as a host, a directory node and an ingress node.
 *
 * @param self this node
 * @param liveNodes the live nodes
 * @param published the services of the backend servers of this host
 * @param publishSequence the number of this host's last publication
 * @param entries the services for which this node is a directory node
 * @param subsetVersion the version of the last subset that this node has sent
 * @param subscriptions the services that requests of this node need
 */
public record DirectoryState(
    Member self,
    LiveNodes liveNodes,
    Map<ServiceId, PublishedService> published,
    long publishSequence,
    Map<ServiceId, DirectoryEntry> entries,
    long subsetVersion,
    Map<ServiceId, Subscription> subscriptions) {

  /** Returns the state of a node that has just started and knows no other node. */
  public static DirectoryState of(Member self) {
    return new DirectoryState(
        self,
        LiveNodes.of(Vector.of(self)),
        HashMap.empty(),
        0,
        HashMap.empty(),
        0,
        HashMap.empty());
  }

  DirectoryState withLiveNodes(LiveNodes next) {
    return new DirectoryState(
        self, next, published, publishSequence, entries, subsetVersion, subscriptions);
  }

  DirectoryState withPublished(Map<ServiceId, PublishedService> next, long nextSequence) {
    return new DirectoryState(
        self, liveNodes, next, nextSequence, entries, subsetVersion, subscriptions);
  }

  DirectoryState withEntry(ServiceId service, DirectoryEntry next) {
    return new DirectoryState(
        self,
        liveNodes,
        published,
        publishSequence,
        entries.put(service, next),
        subsetVersion,
        subscriptions);
  }

  DirectoryState withoutEntry(ServiceId service) {
    return new DirectoryState(
        self,
        liveNodes,
        published,
        publishSequence,
        entries.remove(service),
        subsetVersion,
        subscriptions);
  }

  DirectoryState withSubsetVersion(long next) {
    return new DirectoryState(
        self, liveNodes, published, publishSequence, entries, next, subscriptions);
  }

  DirectoryState withSubscription(ServiceId service, Subscription next) {
    return new DirectoryState(
        self,
        liveNodes,
        published,
        publishSequence,
        entries,
        subsetVersion,
        subscriptions.put(service, next));
  }

  DirectoryState withoutSubscription(ServiceId service) {
    return new DirectoryState(
        self,
        liveNodes,
        published,
        publishSequence,
        entries,
        subsetVersion,
        subscriptions.remove(service));
  }
}
