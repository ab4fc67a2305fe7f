package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.FailureDomainId;

/**
 * The round-trip time from this node to the hosts of each failure domain, measured from queries.
 *
 * @param meanNanos the exponentially weighted mean of each domain
 */
record RoundTrips(Map<FailureDomainId, Long> meanNanos) {
  static final RoundTrips UNKNOWN = new RoundTrips(HashMap.empty());

  private static final double WEIGHT_OF_LATEST = 0.2;
  private static final long DEFAULT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  RoundTrips withMeasured(FailureDomainId domain, long nanos) {
    long mean =
        meanNanos
            .get(domain)
            .map(before -> before + Math.round((nanos - before) * WEIGHT_OF_LATEST))
            .getOrElse(nanos);
    return new RoundTrips(meanNanos.put(domain, mean));
  }

  long micros(FailureDomainId domain) {
    return TimeUnit.NANOSECONDS.toMicros(meanNanos.getOrElse(domain, DEFAULT_NANOS));
  }
}
