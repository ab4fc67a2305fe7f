package org.clementinepost.node.announce;

import org.clementinepost.kernel.Reply;

/** A message to {@link AnnounceService}. */
public sealed interface AnnounceMessage {
  /** Asks for the port on which the service listens. */
  record GetPort(Reply<Integer> reply) implements AnnounceMessage {}
}
