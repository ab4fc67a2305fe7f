package org.clementinepost.testing.backend;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Reply;

/** What a backend server's decision asks for. */
sealed interface BackendEffect {
  /** Answers a message. */
  record SendReply<T>(Reply<Either<Failure, T>> reply, T value) implements BackendEffect {
    void send() {
      reply.send(Either.right(value));
    }
  }

  /** Tells the node, and answers when it has been told or could not be. */
  record Announce(
      Lifecycle state, long uptimeMillis, int busySlots, Reply<Either<Failure, Lifecycle>> reply)
      implements BackendEffect {}
}
