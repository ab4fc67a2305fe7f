package org.clementinepost.node.peer;

import org.clementinepost.api.Failure;
import org.clementinepost.api.peer.StreamMessage;

/** The streams of a connection, seen from one of its two sides. */
interface ConnectionStreams {
  /** Takes a message of the other side. */
  void receive(StreamMessage message);

  /** Takes what the streams' own bodies and exchanges have to tell. */
  void receiveLocal(ConnectionMessage message);

  /** The streams that are open. */
  int size();

  /** Whether no stream is open. */
  default boolean isEmpty() {
    return size() == 0;
  }

  /** Ends the streams without an answer so far that can be repeated on another connection. */
  void failIdempotent(Failure failure);

  /** Ends every stream. */
  void failAll(Failure failure);
}
