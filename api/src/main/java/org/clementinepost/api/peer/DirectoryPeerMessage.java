package org.clementinepost.api.peer;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;

/** The messages by which nodes learn of backend servers. */
public sealed interface DirectoryPeerMessage extends PeerMessage {
  /** The service that the message is about. */
  ServiceId service();

  /**
   * The backend servers of one service behind one host that take work.
   *
   * @param host the host
   * @param incarnation the host's incarnation
   * @param sequence counts the host's publications; an older one is passed over
   * @param service the service
   * @param endpoints the backend servers; none when the host has no more of them
   */
  record Publish(
      NodeId host, long incarnation, long sequence, ServiceId service, Vector<Endpoint> endpoints)
      implements DirectoryPeerMessage {}

  /**
   * Asks a directory node for a service's backend servers, now and whenever they change.
   *
   * @param service the service
   * @param version the version that the sender has of this directory node; zero without one
   */
  record Subscribe(ServiceId service, long version) implements DirectoryPeerMessage {}

  /** The sender no longer wants to hear of a service. */
  record Unsubscribe(ServiceId service) implements DirectoryPeerMessage {}

  /**
   * The backend servers that one ingress node is to use for a service.
   *
   * @param service the service
   * @param incarnation the directory node's incarnation
   * @param version grows with each subset that the directory node sends
   * @param complete whether the directory node has held the service long enough to know all hosts
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
