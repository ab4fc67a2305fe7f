package org.clementinepost.node.edge;

import org.clementinepost.kernel.Reply;

/** What the edge service is told. */
public sealed interface EdgeMessage {
  /** Asks for the port that was opened. */
  record PortAsked(Reply<Integer> reply) implements EdgeMessage {}
}
