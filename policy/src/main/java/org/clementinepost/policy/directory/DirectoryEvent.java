package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;

/** An input of {@link DirectoryPolicy}. */
public sealed interface DirectoryEvent {
  /** The time of the event. */
  long nowMillis();

  /** The set of backend servers of this host that accept requests has changed. */
  record LocalEndpointsChanged(Vector<Endpoint> endpoints, long nowMillis)
      implements DirectoryEvent {}

  /** The set of other live nodes has changed. */
  record MembersChanged(Vector<Member> others, long nowMillis) implements DirectoryEvent {}

  /** A message has arrived from another node or from this one. */
  record Received(NodeId from, DirectoryPeerMessage message, long nowMillis)
      implements DirectoryEvent {}

  /**
   * A request of this node needs the backend servers of a service.
   *
   * @param reply receives true once backend servers are known, or false if none are found
   */
  record Lookup(ServiceId service, Reply<Boolean> reply, long nowMillis)
      implements DirectoryEvent {}

  /** The periodic timer has fired. */
  record Tick(long nowMillis, long random) implements DirectoryEvent {}
}
