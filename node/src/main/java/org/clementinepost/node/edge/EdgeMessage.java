package org.clementinepost.node.edge;

import org.clementinepost.kernel.Reply;
import org.clementinepost.node.settings.NodeSettings;

/** What the edge service is told. */
public sealed interface EdgeMessage {
  /** Asks for the port that was opened. */
  record PortAsked(Reply<Integer> reply) implements EdgeMessage {}

  /** The settings file has been read again. */
  record Reloaded(NodeSettings settings) implements EdgeMessage {}

  /** Goes on taking requests, and ends each connection after its answer. */
  record Farewell() implements EdgeMessage {}

  /** Takes no new requests, and tells when those in hand have ended. */
  record Stop(Reply<Boolean> ended) implements EdgeMessage {}
}
