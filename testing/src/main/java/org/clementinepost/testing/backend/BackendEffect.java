package org.clementinepost.testing.backend;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Reply;

/** An action that the decision of the stand-in requests. */
sealed interface BackendEffect {
  /** Replies to a message. */
  record SendReply<T>(Reply<Either<Failure, T>> reply, T value) implements BackendEffect {
    void send() {
      reply.send(Either.right(value));
    }
  }

  /** Sends an announcement to the node, and replies when it has been answered or has failed. */
  record Announce(
      Lifecycle state, long uptimeMillis, int busySlots, Reply<Either<Failure, Lifecycle>> reply)
      implements BackendEffect {}
}
