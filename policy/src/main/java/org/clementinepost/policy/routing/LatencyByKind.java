package org.clementinepost.policy.routing;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.policy.host.RequestKind;

/**
 * The latencies of a service by kind of request: a run is compared with the runs of the same kind
 * at the other servers of the service.
 *
 * @param serverTimes the times at the backend servers
 * @param totalTimes the times of attempts as seen at the ingress
 */
record LatencyByKind(RunTimeEstimates serverTimes, RunTimeEstimates totalTimes)
    implements LatencyModel {
  static final LatencyByKind EMPTY =
      new LatencyByKind(RunTimeEstimates.NONE, RunTimeEstimates.NONE);

  private static final double SLOW_RATIO = 4;
  private static final double ATTEMPT_OVERDUE_RATIO = 5;
  private static final long OVERDUE_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** A server's own earlier run times count up to this multiple of those of the service. */
  private static final double MAX_OWN_RATIO = 2;

  private static final Outcome UNKNOWN_KIND = new Outcome(false, false, Option.some(0.0));

  @Override
  public LatencyModel withResponse(RequestKind kind, long serverMicros, long totalMicros) {
    return new LatencyByKind(
        serverTimes.withSample(kind, serverMicros), totalTimes.withSample(kind, totalMicros));
  }

  @Override
  public Outcome answered(RequestKind kind, long serverMicros, RunTimeEstimates ownTimes) {
    return usual(kind, ownTimes)
        .map(usual -> SlownessScore.ofCompleted(usual, serverMicros))
        .map(nats -> new Outcome(false, nats > 0, Option.some(nats)))
        .getOrElse(UNKNOWN_KIND);
  }

  /**
   * Returns the usual time of a run at a server. Servers differ in speed, and an ingress node with
   * few requests learns the times of a service late; the server's own earlier times serve for both.
   */
  private Option<RunTimeEstimate> usual(RequestKind kind, RunTimeEstimates ownTimes) {
    Option<RunTimeEstimate> own = ownTimes.of(kind);
    Option<RunTimeEstimate> others = serverTimes.of(kind);
    if (own.isEmpty() || others.isEmpty()) {
      return own.orElse(others);
    }
    double othersMicros = others.get().medianMicros();
    double ownMicros = own.get().medianMicros();
    boolean ownCounts = ownMicros > othersMicros && ownMicros <= MAX_OWN_RATIO * othersMicros;
    return ownCounts ? own : others;
  }

  @Override
  public Option<Long> usualTotalMillis(RequestKind kind) {
    return totalTimes
        .of(kind)
        .map(estimate -> TimeUnit.MICROSECONDS.toMillis(estimate.highPercentileMicros()));
  }

  @Override
  public boolean isSlow(RequestKind kind, long micros) {
    return serverTimes.of(kind).exists(usual -> micros > SLOW_RATIO * usual.medianMicros());
  }

  @Override
  public long overdueAfterNanos() {
    return totalTimes
        .longestMedianMicros()
        .map(micros -> (long) (ATTEMPT_OVERDUE_RATIO * micros * TimeUnit.MICROSECONDS.toNanos(1)))
        .map(nanos -> Math.max(OVERDUE_MIN_NANOS, nanos))
        .getOrElse(Long.MAX_VALUE);
  }

  /** The ingress can't tell whether an attempt runs or waits in a queue; the host can. */
  @Override
  public boolean countsOverdueAttempts() {
    return false;
  }

  @Override
  public double runningNats(RequestKind kind, long ageMicros, RunTimeEstimates ownTimes) {
    return usual(kind, ownTimes)
        .map(usual -> SlownessScore.ofRunning(usual, ageMicros))
        .getOrElse(0.0);
  }
}
