package org.clementinepost.node.peer;

import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.PeerMessage;

/** Dispatches messages from other nodes to the services that they are for. */
@FunctionalInterface
public interface ControlReceiver {
  /** Handles a message that belongs to no stream. */
  void receive(NodeId from, PeerMessage message);
}
