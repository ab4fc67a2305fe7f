package org.clementinepost.policy.directory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.DirectoryPeerMessage;

/**
 * What a directory node knows about one service.
 *
 * @param publications the last publication of each host
 * @param subscribers the ingress nodes that subscribe to the service
 * @param createdMillis when this node created the entry, at the first message about the service
 * @param warmedUp whether all hosts have had time to publish to this node
 * @param changed whether the subsets of the subscribers may be out of date
 */
public record DirectoryEntry(
    Map<NodeId, Publication> publications,
    Map<NodeId, Subscriber> subscribers,
    long createdMillis,
    boolean warmedUp,
    boolean changed) {

  /** The last publication of a host, and when it was received. */
  record Publication(DirectoryPeerMessage.Publish message, long receivedMillis) {}

  /**
   * An ingress node that subscribes to the service.
   *
   * @param renewedMillis when it last sent a subscription
   * @param version the version of the last subset that was sent to it; zero before the first
   * @param complete whether that subset was marked as complete
   * @param endpoints the backend servers of that subset
   */
  record Subscriber(
      long renewedMillis, long version, boolean complete, Vector<Endpoint> endpoints) {}

  static DirectoryEntry create(long nowMillis) {
    return new DirectoryEntry(HashMap.empty(), HashMap.empty(), nowMillis, false, false);
  }

  boolean isEmpty() {
    return publications.isEmpty() && subscribers.isEmpty();
  }

  /** Returns the backend servers of live hosts. */
  Vector<Endpoint> liveEndpoints(LiveNodes liveNodes) {
    return publications
        .valuesIterator()
        .map(Publication::message)
        .filter(publish -> liveNodes.isLive(publish.host(), publish.incarnation()))
        .flatMap(DirectoryPeerMessage.Publish::endpoints)
        .toVector();
  }

  DirectoryEntry withPublications(Map<NodeId, Publication> next) {
    return new DirectoryEntry(next, subscribers, createdMillis, warmedUp, true);
  }

  DirectoryEntry withSubscribers(Map<NodeId, Subscriber> next) {
    return new DirectoryEntry(publications, next, createdMillis, warmedUp, changed);
  }

  DirectoryEntry withChanged(boolean next) {
    return new DirectoryEntry(publications, subscribers, createdMillis, warmedUp, next);
  }

  DirectoryEntry withWarmedUp() {
    return new DirectoryEntry(publications, subscribers, createdMillis, true, true);
  }
}
