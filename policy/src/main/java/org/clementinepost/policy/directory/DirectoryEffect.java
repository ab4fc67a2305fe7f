package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;

/** What the directory decision asks for. */
public sealed interface DirectoryEffect {
  /** Sends a message to a node, which may be this one. */
  record Send(NodeId to, DirectoryPeerMessage message) implements DirectoryEffect {}

  /** Tells routing which backend servers it may use for a service. */
  record UpdateRouting(ServiceId service, Vector<Endpoint> endpoints) implements DirectoryEffect {}

  /** Answers a request that waits for a service. */
  record CompleteLookup(Reply<Boolean> reply, boolean found) implements DirectoryEffect {}
}
