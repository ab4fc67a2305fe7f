package org.clementinepost.policy.host;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.config.Service;

/**
 * Predicts how long a request will wait for a slot of a backend server.
 *
 * <p>It answers lasting overload: a request whose turn cannot come in time is refused at once,
 * instead of waiting until its time is over.
 */
final class WaitPrediction {
  private WaitPrediction() {}

  /**
   * Returns the predicted wait of a request, or none while the run times of the server are unknown.
   *
   * <p>The work in hand and the work that waits ahead of the request are spread over all slots. A
   * server in cold start drains its queue no faster than its rate limit.
   */
  static Option<Long> waitNanos(
      HostState state, HostedServer server, WaitingRequest request, long nowNanos) {
    RunTimes runTimes = server.runTimes();
    if (runTimes.expectedNanos(request.kind()).isEmpty()) {
      return Option.none();
    }
    long workNanos = 0;
    for (AdmittedRequest running : state.admissions().values()) {
      if (running.server().equals(request.admit().server())) {
        long expectedNanos = runTimes.expectedNanos(running.kind()).getOrElse(0L);
        workNanos += Math.max(0, expectedNanos - (nowNanos - running.admittedNanos()));
      }
    }
    int ahead = 0;
    for (WaitingRequest waiting : state.waiting()) {
      if (waiting.admit().server().equals(request.admit().server())
          && WaitingRequest.BY_URGENCY.compare(waiting, request) <= 0) {
        workNanos += runTimes.expectedNanos(waiting.kind()).getOrElse(0L);
        ahead++;
      }
    }
    long bySlotsNanos = workNanos / server.announcement().slots();
    return Option.some(Math.max(bySlotsNanos, coldWaitNanos(state, server, ahead, nowNanos)));
  }

  static long coldWaitNanos(HostState state, HostedServer server, int ahead, long nowNanos) {
    double perSecond =
        state
            .snapshot()
            .services()
            .get(server.announcement().service())
            .map(Service::coldRequestsPerSecond)
            .getOrElse(0.0);
    if (perSecond == 0 || !server.isCold(nowNanos)) {
      return 0;
    }
    long untilWarmNanos = server.coldUntilNanos() - nowNanos;
    return Math.min(untilWarmNanos, Math.round(TimeUnit.SECONDS.toNanos(ahead) / perSecond));
  }
}
