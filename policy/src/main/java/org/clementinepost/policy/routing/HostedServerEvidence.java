package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;

/**
 * The evidence that a host has against a backend server of its own, from the requests of all
 * ingress nodes.
 *
 * @param service the service of the backend server
 * @param evidence the evidence
 * @param outstanding the requests that it has not answered
 * @param waitingSinceNanos when it last answered, or began to owe an answer
 * @param lastBadOutcomeNanos when a request last ended badly
 * @param lastReportNanos when the evidence last gave a verdict
 * @param lastReport the last verdict
 * @param lastRequestNanosByIngress the ingress nodes that sent requests of late, with the time of
 *     the last
 */
record HostedServerEvidence(
    ServiceId service,
    Evidence evidence,
    int outstanding,
    long waitingSinceNanos,
    long lastBadOutcomeNanos,
    long lastReportNanos,
    HostReport lastReport,
    Map<NodeId, Long> lastRequestNanosByIngress) {
  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;
  private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
  private static final long INGRESS_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final int MIN_OUTSTANDING_FOR_SILENCE = 3;
  private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  static HostedServerEvidence of(ServiceId service) {
    return new HostedServerEvidence(
        service,
        Evidence.NONE,
        0,
        LONG_AGO_NANOS,
        LONG_AGO_NANOS,
        LONG_AGO_NANOS,
        HostReport.HEALTHY,
        HashMap.empty());
  }

  HostedServerEvidence withRequestStarted(NodeId ingress, long nowNanos) {
    return new HostedServerEvidence(
        service,
        evidence,
        outstanding + 1,
        outstanding == 0 ? nowNanos : waitingSinceNanos,
        lastBadOutcomeNanos,
        lastReportNanos,
        lastReport,
        lastRequestNanosByIngress.put(ingress, nowNanos));
  }

  /** Evidence lapses once nothing bad has been seen for a while. */
  HostedServerEvidence withRequestEnded(
      Option<Outcome> outcome, ServiceBaseline reference, long nowNanos) {
    boolean bad = outcome.exists(seen -> !seen.isGood());
    boolean lapsed = nowNanos - lastBadOutcomeNanos > EXPIRY_NANOS;
    Evidence before = lapsed ? Evidence.NONE : evidence;
    return new HostedServerEvidence(
            service,
            outcome.map(seen -> before.withOutcome(seen, reference, nowNanos)).getOrElse(before),
            Math.max(0, outstanding - 1),
            waitingSinceNanos,
            bad ? nowNanos : lastBadOutcomeNanos,
            lastReportNanos,
            lastReport,
            lastRequestNanosByIngress)
        .withReportIfConclusive(bad, nowNanos);
  }

  HostedServerEvidence withAnswerAt(long nowNanos) {
    return new HostedServerEvidence(
        service,
        evidence,
        outstanding,
        nowNanos,
        lastBadOutcomeNanos,
        lastReportNanos,
        lastReport,
        lastRequestNanosByIngress);
  }

  HostedServerEvidence atTick(ServiceBaseline reference, long nowNanos) {
    long limitNanos = Math.max(MIN_SILENCE_NANOS, reference.overdueAfterNanos());
    boolean silent =
        outstanding >= MIN_OUTSTANDING_FOR_SILENCE && nowNanos - waitingSinceNanos >= limitNanos;
    HostedServerEvidence pruned =
        new HostedServerEvidence(
            service,
            evidence,
            outstanding,
            waitingSinceNanos,
            lastBadOutcomeNanos,
            lastReportNanos,
            lastReport,
            lastRequestNanosByIngress.filterValues(last -> nowNanos - last < INGRESS_EXPIRY_NANOS));
    return silent ? pruned.withReport(HostReport.SILENT, nowNanos) : pruned;
  }

  private HostedServerEvidence withReportIfConclusive(boolean bad, long nowNanos) {
    if (!bad || !evidence.isConclusive()) {
      return this;
    }
    return withReport(evidence.isMostlyFailing() ? HostReport.FAILING : HostReport.SLOW, nowNanos);
  }

  private HostedServerEvidence withReport(HostReport next, long nowNanos) {
    return new HostedServerEvidence(
        service,
        evidence,
        outstanding,
        waitingSinceNanos,
        lastBadOutcomeNanos,
        nowNanos,
        next,
        lastRequestNanosByIngress);
  }

  HostReport currentReport(long nowNanos) {
    return nowNanos - lastReportNanos < EXPIRY_NANOS ? lastReport : HostReport.HEALTHY;
  }

  Set<NodeId> recentIngressNodes() {
    return lastRequestNanosByIngress.keySet();
  }

  boolean isUnused() {
    return outstanding == 0 && lastRequestNanosByIngress.isEmpty();
  }
}
