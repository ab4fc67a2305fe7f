package org.clementinepost.node.peer;

import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.PeerMessage;

/** Hands a message of another node to the service that it is meant for. */
@FunctionalInterface
public interface ControlReceiver {
  /** Takes a message that belongs to no stream. */
  void receive(NodeId from, PeerMessage message);
}
