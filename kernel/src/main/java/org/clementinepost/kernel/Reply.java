package org.clementinepost.kernel;

/** Takes the answer to one message. */
@FunctionalInterface
public interface Reply<R> {
  /** Gives the answer; only the first one counts. */
  void send(R answer);

  /** A reply that nobody reads. */
  static <R> Reply<R> ignored() {
    return answer -> {};
  }
}
