package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;

/** An action that {@link DirectoryPolicy} requests. */
public sealed interface DirectoryEffect {
  /** Sends a message to a node, possibly to this one. */
  record Send(NodeId to, DirectoryPeerMessage message) implements DirectoryEffect {}

  /** Gives routing the backend servers that it may use for a service. */
  record UpdateRouting(ServiceId service, Vector<Endpoint> endpoints) implements DirectoryEffect {}

  /** Answers a lookup of a service by a request of this node. */
  record CompleteLookup(Reply<Boolean> reply, boolean found) implements DirectoryEffect {}
}
