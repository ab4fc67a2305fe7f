package org.clementinepost.node.announce;

import org.clementinepost.kernel.Reply;

/** What the announce service is told. */
public sealed interface AnnounceMessage {
  /** Asks for the port that was opened. */
  record GetPort(Reply<Integer> reply) implements AnnounceMessage {}
}
