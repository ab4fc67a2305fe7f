package org.clementinepost.api.peer;

import org.clementinepost.api.NodeId;

/** The messages that open and monitor a connection between two nodes. */
public sealed interface LinkMessage extends PeerMessage {
  /**
   * The first message that each side sends on a connection.
   *
   * @param node the sender
   * @param incarnation the sender's incarnation
   */
  record Hello(NodeId node, long incarnation) implements LinkMessage {}

  /** Asks the peer to respond, to check that it is alive. */
  record Ping(long sequence) implements LinkMessage {}

  /** The response to a ping with the same sequence number. */
  record Pong(long sequence) implements LinkMessage {}
}
