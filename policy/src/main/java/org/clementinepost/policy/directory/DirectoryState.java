package org.clementinepost.policy.directory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.ServiceId;

/**
 * What a node knows of backend servers in its three parts: as host, as directory node, as ingress.
 *
 * @param self this node
 * @param liveNodes the live nodes
 * @param published the services that this node has backend servers of
 * @param publishSequence counts this node's publications
 * @param entries the services that this node holds for others
 * @param subsetVersion counts the subsets that this node has sent
 * @param subscriptions the services that this node's requests need
 */
public record DirectoryState(
    Member self,
    LiveNodes liveNodes,
    Map<ServiceId, PublishedService> published,
    long publishSequence,
    Map<ServiceId, DirectoryEntry> entries,
    long subsetVersion,
    Map<ServiceId, Subscription> subscriptions) {

  /** The state of a node that has just started and knows of no other. */
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
