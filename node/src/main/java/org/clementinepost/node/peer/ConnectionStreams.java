package org.clementinepost.node.peer;

import org.clementinepost.api.Failure;
import org.clementinepost.api.peer.StreamMessage;

/**
 * The open streams of a connection as managed at one end of it, the initiator's or the acceptor's.
 */
interface ConnectionStreams {
  /** Handles a message of the peer. */
  void receive(StreamMessage message);

  /** Handles a message of a local requester, body or exchange. */
  void receiveLocal(ConnectionMessage message);

  /** Returns the number of open streams. */
  int size();

  /** Whether no stream is open. */
  default boolean isEmpty() {
    return size() == 0;
  }

  /** Fails the idempotent requests without a delivered response, so that they can be retried. */
  void failIdempotent(Failure failure);

  /** Terminates all streams with a failure. */
  void failAll(Failure failure);
}
