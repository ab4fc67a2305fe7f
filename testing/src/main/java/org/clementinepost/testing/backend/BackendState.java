package org.clementinepost.testing.backend;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Reply;

/**
 * The state of a backend server stand-in.
 *
 * @param lifecycle the lifecycle state that it announces
 * @param health how it currently behaves
 * @param startedMillis the time of its start
 * @param coldUntilMillis the time at which its cold start ends
 * @param busySlots the number of requests that are running
 * @param openConnections the number of open connections
 * @param stopReply the reply to send when the last request has ended; set while the server is
 *     stopping
 * @param statistics the statistics of the requests received
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

  BackendState withLifecycle(Lifecycle newLifecycle) {
    return new BackendState(
        newLifecycle,
        health,
        startedMillis,
        coldUntilMillis,
        busySlots,
        openConnections,
        stopReply,
        statistics);
  }

  BackendState withHealth(HealthControl newHealth) {
    return new BackendState(
        lifecycle,
        newHealth,
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

  BackendState withBusySlots(int newBusySlots) {
    return new BackendState(
        lifecycle,
        health,
        startedMillis,
        coldUntilMillis,
        newBusySlots,
        openConnections,
        stopReply,
        statistics);
  }

  BackendState withOpenConnections(int newOpenConnections) {
    return new BackendState(
        lifecycle,
        health,
        startedMillis,
        coldUntilMillis,
        busySlots,
        newOpenConnections,
        stopReply,
        statistics);
  }

  BackendState withStopReply(Reply<Either<Failure, Lifecycle>> newStopReply) {
    return new BackendState(
        lifecycle,
        health,
        startedMillis,
        coldUntilMillis,
        busySlots,
        openConnections,
        Option.some(newStopReply),
        statistics);
  }

  BackendState withStatistics(RequestStatistics newStatistics) {
    return new BackendState(
        lifecycle,
        health,
        startedMillis,
        coldUntilMillis,
        busySlots,
        openConnections,
        stopReply,
        newStatistics);
  }
}
