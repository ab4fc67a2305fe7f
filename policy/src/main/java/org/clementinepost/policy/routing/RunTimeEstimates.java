package org.clementinepost.policy.routing;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.clementinepost.policy.host.RequestKind;

/**
 * The distribution of run times, by kind of request.
 *
 * @param byKind the estimates, the kind seen last at the end
 */
record RunTimeEstimates(Map<RequestKind, RunTimeEstimate> byKind) {
  static final RunTimeEstimates NONE = new RunTimeEstimates(LinkedHashMap.empty());

  private static final int MAX_KINDS = 16;

  RunTimeEstimates withSample(RequestKind kind, long micros) {
    RunTimeEstimate next = byKind.getOrElse(kind, RunTimeEstimate.NONE).withSample(micros);
    Map<RequestKind, RunTimeEstimate> updated = byKind.remove(kind).put(kind, next);
    return new RunTimeEstimates(updated.size() > MAX_KINDS ? updated.tail() : updated);
  }

  /** Returns the estimate of a kind; none without enough samples. */
  Option<RunTimeEstimate> of(RequestKind kind) {
    return byKind.get(kind).filter(RunTimeEstimate::isReliable);
  }

  /**
   * Returns the median of the kind that takes longest, also of one with few samples; none if no
   * kind has enough.
   */
  Option<Double> longestMedianMicros() {
    return byKind.values().exists(RunTimeEstimate::isReliable)
        ? byKind.values().map(RunTimeEstimate::medianMicros).max()
        : Option.none();
  }
}
