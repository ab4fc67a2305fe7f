package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;

/** What the directory decision is told. */
public sealed interface DirectoryEvent {
  /** When it happened. */
  long nowMillis();

  /** The backend servers behind this node that take work. */
  record LocalEndpointsChanged(Vector<Endpoint> endpoints, long nowMillis)
      implements DirectoryEvent {}

  /** The other live nodes. */
  record MembersChanged(Vector<Member> others, long nowMillis) implements DirectoryEvent {}

  /** Another node, or this one, has sent a message. */
  record Received(NodeId from, DirectoryPeerMessage message, long nowMillis)
      implements DirectoryEvent {}

  /**
   * A request of this node needs a service.
   *
   * @param reply is answered once backend servers are known, or with false when none are found
   */
  record Lookup(ServiceId service, Reply<Boolean> reply, long nowMillis)
      implements DirectoryEvent {}

  /** Time has passed. */
  record Tick(long nowMillis, long random) implements DirectoryEvent {}
}
