package org.clementinepost.node.peer;

import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.PeerMessage;

/**
 * Dispatches control messages, which belong to no stream, from other nodes to the services of this
 * node.
 */
@FunctionalInterface
public interface ControlReceiver {
  /** Handles a control message. */
  void receive(NodeId from, PeerMessage message);
}
