package org.clementinepost.node.exchange;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether the request of an exchange has been started: its head is on the way to the backend
 * server.
 *
 * <p>Until then any request can be withdrawn, since it has not run. A request that is not
 * idempotent is left to its end afterwards. It is either started or withdrawn, never both.
 */
final class ExchangeStart {
  private enum State {
    PENDING,
    STARTED,
    WITHDRAWN
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.PENDING);

  /** Starts the request; returns false if it has been withdrawn. */
  boolean tryStart() {
    return state.compareAndSet(State.PENDING, State.STARTED);
  }

  /** Withdraws the request; returns false if it has been started. */
  boolean tryWithdraw() {
    return state.compareAndSet(State.PENDING, State.WITHDRAWN);
  }
}
