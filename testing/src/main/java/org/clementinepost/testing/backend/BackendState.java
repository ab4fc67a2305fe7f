package org.clementinepost.testing.backend;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Reply;

/**
 * The state of a backend server.
 *
 * @param lifecycle what it announces
 * @param health how it behaves
 * @param startedMillis when it started
 * @param coldUntilMillis when its cold start ends
 * @param busySlots the requests that run
 * @param connections the open connections
 * @param leaving who waits for the last request to end, so that the server can go
 * @param received what it has seen
 */
record BackendState(
    Lifecycle lifecycle,
    HealthOrder health,
    long startedMillis,
    long coldUntilMillis,
    int busySlots,
    int connections,
    Option<Reply<Either<Failure, Lifecycle>>> leaving,
    Received received) {

  static BackendState started(long nowMillis, long coldStartMillis) {
    return new BackendState(
        Lifecycle.SERVING,
        HealthOrder.of(HealthMode.HEALTHY),
        nowMillis,
        nowMillis + coldStartMillis,
        0,
        0,
        Option.none(),
        Received.none());
  }

  BackendState withLifecycle(Lifecycle next) {
    return new BackendState(
        next, health, startedMillis, coldUntilMillis, busySlots, connections, leaving, received);
  }

  BackendState withHealth(HealthOrder next) {
    return new BackendState(
        lifecycle, next, startedMillis, coldUntilMillis, busySlots, connections, leaving, received);
  }

  BackendState withColdUntil(long untilMillis) {
    return new BackendState(
        lifecycle, health, startedMillis, untilMillis, busySlots, connections, leaving, received);
  }

  BackendState withBusySlots(int busy) {
    return new BackendState(
        lifecycle, health, startedMillis, coldUntilMillis, busy, connections, leaving, received);
  }

  BackendState withConnections(int open) {
    return new BackendState(
        lifecycle, health, startedMillis, coldUntilMillis, busySlots, open, leaving, received);
  }

  BackendState withLeaving(Reply<Either<Failure, Lifecycle>> waiting) {
    return new BackendState(
        lifecycle,
        health,
        startedMillis,
        coldUntilMillis,
        busySlots,
        connections,
        Option.some(waiting),
        received);
  }

  BackendState withReceived(Received next) {
    return new BackendState(
        lifecycle, health, startedMillis, coldUntilMillis, busySlots, connections, leaving, next);
  }
}
