package org.clementinepost.api.peer;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;

/** The messages of the endpoint directory. */
public sealed interface DirectoryPeerMessage extends PeerMessage {
  /** The service that the message is about. */
  ServiceId service();

  /**
   * The backend servers of one service and one host that accept requests.
   *
   * @param host the host
   * @param incarnation the host's incarnation
   * @param sequence the number of the host's publication; a receiver ignores one with a lower
   *     number than the last
   * @param service the service
   * @param endpoints the backend servers; empty when the host has none left
   */
  record Publish(
      NodeId host, long incarnation, long sequence, ServiceId service, Vector<Endpoint> endpoints)
      implements DirectoryPeerMessage {}

  /**
   * Subscribes to a service's backend servers at a directory node.
   *
   * @param service the service
   * @param version the version of the subset that the sender has from this directory node; zero if
   *     it has none
   */
  record Subscribe(ServiceId service, long version) implements DirectoryPeerMessage {}

  /** Ends the sender's subscription to a service. */
  record Unsubscribe(ServiceId service) implements DirectoryPeerMessage {}

  /**
   * The backend servers that one ingress node uses for a service.
   *
   * @param service the service
   * @param incarnation the directory node's incarnation
   * @param version increases with each subset that the directory node sends
   * @param complete whether the directory node has had an entry for the service long enough to know
   *     all its hosts
   * @param endpoints the backend servers
   */
  record Subset(
      ServiceId service,
      long incarnation,
      long version,
      boolean complete,
      Vector<Endpoint> endpoints)
      implements DirectoryPeerMessage {}
}
