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
 * @param openConnections the open connections
 * @param stopReply who waits for the last request to end, so that the server can go
 * @param statistics what it has seen
 */
record BackendState(
    Lifecycle lifecycle,
    HealthControl health,
    long startedMillis,
    long coldUntilMillis,
    int busySlots,
    int openConnections,
    Option<Reply<Either<Failure, Lifecycle>>> stopReply,
    RequestStatistics statistics) {

  static BackendState initial(long nowMillis, long coldStartMillis) {
    return new BackendState(
        Lifecycle.SERVING,
        HealthControl.of(HealthMode.HEALTHY),
        nowMillis,
        nowMillis + coldStartMillis,
        0,
        0,
        Option.none(),
        RequestStatistics.empty());
  }

  BackendState withLifecycle(Lifecycle next) {
    return new BackendState(
        next,
        health,
        startedMillis,
        coldUntilMillis,
        busySlots,
        openConnections,
        stopReply,
        statistics);
  }

  BackendState withHealth(HealthControl next) {
    return new BackendState(
        lifecycle,
        next,
        startedMillis,
        coldUntilMillis,
        busySlots,
        openConnections,
        stopReply,
        statistics);
  }

  BackendState withColdUntil(long untilMillis) {
    return new BackendState(
        lifecycle,
        health,
        startedMillis,
        untilMillis,
        busySlots,
        openConnections,
        stopReply,
        statistics);
  }

  BackendState withBusySlots(int busy) {
    return new BackendState(
        lifecycle,
        health,
        startedMillis,
        coldUntilMillis,
        busy,
        openConnections,
        stopReply,
        statistics);
  }

  BackendState withOpenConnections(int open) {
    return new BackendState(
        lifecycle, health, startedMillis, coldUntilMillis, busySlots, open, stopReply, statistics);
  }

  BackendState withStopReply(Reply<Either<Failure, Lifecycle>> waiting) {
    return new BackendState(
        lifecycle,
        health,
        startedMillis,
        coldUntilMillis,
        busySlots,
        openConnections,
        Option.some(waiting),
        statistics);
  }

  BackendState withStatistics(RequestStatistics next) {
    return new BackendState(
        lifecycle,
        health,
        startedMillis,
        coldUntilMillis,
        busySlots,
        openConnections,
        stopReply,
        next);
  }
}
