package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.LoadReport;

/**
 * A host's reply to a load query, with what has changed since.
 *
 * @param report the load of the backend server
 * @param sameDomain whether the server is in the failure domain of this node
 * @param receivedNanos when the reply arrived
 * @param placedSince the requests that this node has placed on the server since
 */
record KnownReport(LoadReport report, boolean sameDomain, long receivedNanos, int placedSince) {
  private static final long TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  boolean isFresh(long nowNanos) {
    return nowNanos - receivedNanos < TTL_NANOS;
  }

  long ageMicros(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMicros(nowNanos - receivedNanos);
  }

  /**
   * Whether the host would still admit a request at once. A host keeps slots in reserve for its own
   * domain, so one request of another domain may have used up what it offers to other domains.
   */
  boolean admitsNow() {
    if (report.refusal().isDefined()) {
      return false;
    }
    return placedSince == 0 || (sameDomain && report.running() + placedSince < report.slots());
  }

  boolean isIdle() {
    return admitsNow() && report.running() + placedSince == 0;
  }

  KnownReport withRequestPlaced() {
    return new KnownReport(report, sameDomain, receivedNanos, placedSince + 1);
  }
}
