package org.clementinepost.policy.host;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;

/**
 * The time that one backend server usually takes for a request, by kind of request.
 *
 * @param meanNanos the exponentially weighted mean of each kind, the latest kind last
 */
record RunTimes(Map<RequestKind, Long> meanNanos) {
  static final RunTimes UNKNOWN = new RunTimes(LinkedHashMap.empty());

  private static final double WEIGHT_OF_LATEST_RUN = 0.2;

  /** More kinds than a service has routes of its own; the kind seen least recently is dropped. */
  private static final int MAX_KINDS = 16;

  /** Returns the run times after a run that succeeded. */
  RunTimes withRun(RequestKind kind, long micros) {
    long nanos = TimeUnit.MICROSECONDS.toNanos(micros);
    long mean =
        meanNanos
            .get(kind)
            .map(before -> before + Math.round((nanos - before) * WEIGHT_OF_LATEST_RUN))
            .getOrElse(nanos);
    Map<RequestKind, Long> next = meanNanos.remove(kind).put(kind, mean);
    return new RunTimes(next.size() > MAX_KINDS ? next.tail() : next);
  }

  /**
   * Returns the expected time of a run. A kind that has not run yet is expected to take as long as
   * the longest of the others.
   */
  Option<Long> expectedNanos(RequestKind kind) {
    return meanNanos.get(kind).orElse(() -> meanNanos.values().max());
  }
}
