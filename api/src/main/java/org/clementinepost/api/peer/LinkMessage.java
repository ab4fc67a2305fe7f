package org.clementinepost.api.peer;

import org.clementinepost.api.NodeId;

/** The messages that keep one connection between two nodes. */
public sealed interface LinkMessage extends PeerMessage {
  /**
   * The first message of each side on a connection.
   *
   * @param node the sender
   * @param incarnation the sender's incarnation
   */
  record Hello(NodeId node, long incarnation) implements LinkMessage {}

  /** Asks the other side for a sign of life. */
  record Ping(long sequence) implements LinkMessage {}

  /** Answers a ping. */
  record Pong(long sequence) implements LinkMessage {}
}
