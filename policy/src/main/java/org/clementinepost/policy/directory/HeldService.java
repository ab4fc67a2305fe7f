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
 * @param hosts what each host has published
 * @param subscribers the ingress nodes that want to hear of it
 * @param sinceMillis when this node first heard of the service
 * @param settled whether the hosts have had the time to tell this node
 * @param changed whether subscribers may have to be told
 */
public record HeldService(
    Map<NodeId, HostEntry> hosts,
    Map<NodeId, Subscriber> subscribers,
    long sinceMillis,
    boolean settled,
    boolean changed) {

  /** What a host has published, and when. */
  record HostEntry(DirectoryPeerMessage.Published published, long heardMillis) {}

  /**
   * An ingress node that uses the service.
   *
   * @param heardMillis when it last asked
   * @param version the version of the last subset that it was sent; zero before the first
   * @param complete whether that subset was said to be complete
   * @param endpoints that subset
   */
  record Subscriber(long heardMillis, long version, boolean complete, Vector<Endpoint> endpoints) {}

  static HeldService since(long nowMillis) {
    return new HeldService(HashMap.empty(), HashMap.empty(), nowMillis, false, false);
  }

  boolean isEmpty() {
    return hosts.isEmpty() && subscribers.isEmpty();
  }

  /** The backend servers behind hosts that live. */
  Vector<Endpoint> endpoints(Fleet fleet) {
    return hosts
        .valuesIterator()
        .map(HostEntry::published)
        .filter(published -> fleet.isLive(published.host(), published.incarnation()))
        .flatMap(DirectoryPeerMessage.Published::endpoints)
        .toVector();
  }

  HeldService withHosts(Map<NodeId, HostEntry> next) {
    return new HeldService(next, subscribers, sinceMillis, settled, true);
  }

  HeldService withSubscribers(Map<NodeId, Subscriber> next) {
    return new HeldService(hosts, next, sinceMillis, settled, changed);
  }

  HeldService withChanged(boolean next) {
    return new HeldService(hosts, subscribers, sinceMillis, settled, next);
  }

  HeldService withSettled() {
    return new HeldService(hosts, subscribers, sinceMillis, true, true);
  }
}
