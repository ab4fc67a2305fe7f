package org.clementinepost.policy.routing;

import io.vavr.Tuple;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.RequestId;
import org.clementinepost.policy.host.RequestKind;

/**
 * The runs of one backend server, as its host sees them.
 *
 * <p>A request that arrived while a slot was free has been running since then. One that had to wait
 * has an unknown start and is not watched.
 *
 * @param times the run times of the server
 * @param watched the runs whose start is known
 */
record HostedRuns(RunTimeEstimates times, Map<RequestId, Run> watched) {
  /** A run that has not ended, and the evidence of slowness that has been counted for it. */
  record Run(RequestKind kind, long startNanos, double countedNats) {
    private Run withEvidence(LatencyModel latency, RunTimeEstimates times, long nowNanos) {
      long ageMicros = TimeUnit.NANOSECONDS.toMicros(nowNanos - startNanos);
      double nats = latency.runningNats(kind, ageMicros, times);
      return nats > countedNats ? new Run(kind, startNanos, nats) : this;
    }
  }

  static final HostedRuns NONE = new HostedRuns(RunTimeEstimates.NONE, LinkedHashMap.empty());

  private static final int MAX_WATCHED = 256;

  HostedRuns withStarted(HostedRequest request, long nowNanos) {
    return watched.size() >= MAX_WATCHED
        ? this
        : new HostedRuns(times, watched.put(request.id(), new Run(request.kind(), nowNanos, 0)));
  }

  HostedRuns withAnswered(RequestKind kind, long serverMicros) {
    return new HostedRuns(times.withSample(kind, serverMicros), watched);
  }

  HostedRuns withoutRun(RequestId id) {
    return watched.containsKey(id) ? new HostedRuns(times, watched.remove(id)) : this;
  }

  /** Returns the outcome of a run without the evidence that was counted while it ran. */
  Option<Outcome> withoutCountedEvidence(RequestId id, Option<Outcome> outcome) {
    double counted = watched.get(id).map(Run::countedNats).getOrElse(0.0);
    return counted == 0 ? outcome : outcome.map(ended -> ended.plusNats(-counted));
  }

  HostedRuns withEvidence(LatencyModel latency, long nowNanos) {
    return new HostedRuns(
        times, watched.map((id, run) -> Tuple.of(id, run.withEvidence(latency, times, nowNanos))));
  }

  double countedNats() {
    return watched.values().map(Run::countedNats).sum().doubleValue();
  }
}
