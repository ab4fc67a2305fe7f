package org.clementinepost.policy.directory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.DirectoryPeerMessage;

/**
 * A service that this node holds for others.
 *
 * @param publications what each host has published
 * @param subscribers the ingress nodes that want to hear of it
 * @param createdMillis when this node first heard of the service
 * @param warmedUp whether the hosts have had the time to tell this node
 * @param changed whether subscribers may have to be told
 */
public record DirectoryEntry(
    Map<NodeId, Publication> publications,
    Map<NodeId, Subscriber> subscribers,
    long createdMillis,
    boolean warmedUp,
    boolean changed) {

  /** What a host has published, and when. */
  record Publication(DirectoryPeerMessage.Publish message, long receivedMillis) {}

  /**
   * An ingress node that uses the service.
   *
   * @param renewedMillis when it last asked
   * @param version the version of the last subset that it was sent; zero before the first
   * @param complete whether that subset was said to be complete
   * @param endpoints that subset
   */
  record Subscriber(
      long renewedMillis, long version, boolean complete, Vector<Endpoint> endpoints) {}

  static DirectoryEntry create(long nowMillis) {
    return new DirectoryEntry(HashMap.empty(), HashMap.empty(), nowMillis, false, false);
  }

  boolean isEmpty() {
    return publications.isEmpty() && subscribers.isEmpty();
  }

  /** The backend servers behind hosts that live. */
  Vector<Endpoint> liveEndpoints(LiveNodes fleet) {
    return publications
        .valuesIterator()
        .map(Publication::message)
        .filter(published -> fleet.isLive(published.host(), published.incarnation()))
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
