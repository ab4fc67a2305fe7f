package org.clementinepost.kernel;

/** Receives the reply to one message. */
@FunctionalInterface
public interface Reply<R> {
  /** Sends the reply; calls after the first are ignored. */
  void send(R value);

  /** Returns a reply that discards its value. */
  static <R> Reply<R> ignored() {
    return value -> {};
  }
}
