package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;

/**
 * The evidence of a host against one of its own backend servers, from the requests of all ingress
 * nodes.
 *
 * @param service the service of the backend server
 * @param evidence the evidence from completed requests
 * @param outstanding the number of requests that the server has not answered
 * @param waitingSinceNanos when the server last answered, or when a request was sent to the idle
 *     server if that is later
 * @param lastBadOutcomeNanos when a request last failed or was slow
 * @param lastReportNanos when the evidence last led to an unhealthy report
 * @param lastReport the last unhealthy report, or healthy if there was none
 * @param lastGoodResponseNanos when the server last responded, if that response was no server error
 * @param idleNotices the number of notices since then that the server is idle
 * @param lastRequestNanosByIngress the time of the last request of each ingress node that has sent
 *     any recently
 * @param runs the server's runs
 */
record HostedServerEvidence(
    ServiceId service,
    Evidence evidence,
    int outstanding,
    long waitingSinceNanos,
    long lastBadOutcomeNanos,
    long lastReportNanos,
    HostReport lastReport,
    long lastGoodResponseNanos,
    int idleNotices,
    Map<NodeId, Long> lastRequestNanosByIngress,
    HostedRuns runs) {
  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;
  private static final long NEVER_GOOD_NANOS = Long.MAX_VALUE / 2;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;
  private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
  private static final long INGRESS_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final int MIN_OUTSTANDING_FOR_SILENCE = 3;
  private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  static HostedServerEvidence of(ServiceId service) {
    return new Builder(service).build();
  }

  HostedServerEvidence withRequestStarted(
      HostedRequest request, NodeId ingress, int slots, long nowNanos) {
    return toBuilder()
        .runs(outstanding < slots ? runs.withStarted(request, nowNanos) : runs)
        .outstanding(outstanding + 1)
        .waitingSinceNanos(outstanding == 0 ? nowNanos : waitingSinceNanos)
        .lastRequestNanosByIngress(lastRequestNanosByIngress.put(ingress, nowNanos))
        .build();
  }

  /** Adds the outcome of a request. Evidence expires after a time without bad outcomes. */
  HostedServerEvidence withRequestEnded(
      Option<Outcome> outcome, ServiceBaseline baseline, long nowNanos) {
    boolean bad = outcome.exists(ended -> !ended.isGood());
    boolean expired = nowNanos - lastBadOutcomeNanos > EXPIRY_NANOS;
    Evidence before = expired ? Evidence.NONE : evidence;
    return toBuilder()
        .evidence(
            outcome.map(ended -> before.withOutcome(ended, baseline, nowNanos)).getOrElse(before))
        .outstanding(Math.max(0, outstanding - 1))
        .lastBadOutcomeNanos(bad ? nowNanos : lastBadOutcomeNanos)
        .build()
        .withReportIfConclusive(bad, nowNanos);
  }

  HostedServerEvidence withRunEnded(RoutingEvent.HostedRequestEnded ended) {
    HostedRuns others = runs.withoutRun(ended.request().id());
    boolean succeeded =
        ended.failure().isEmpty()
            && ended.status() != 0
            && ended.status() < FIRST_SERVER_ERROR_STATUS;
    return toBuilder()
        .runs(
            succeeded ? others.withAnswered(ended.request().kind(), ended.serverMicros()) : others)
        .build();
  }

  HostedServerEvidence withResponse(int status, long nowNanos) {
    return toBuilder()
        .waitingSinceNanos(nowNanos)
        .lastGoodResponseNanos(status < FIRST_SERVER_ERROR_STATUS ? nowNanos : NEVER_GOOD_NANOS)
        .idleNotices(0)
        .build();
  }

  /** Returns a copy after ingress nodes were notified that the server is idle. */
  HostedServerEvidence withIdleNotice() {
    return toBuilder().idleNotices(idleNotices + 1).build();
  }

  /** Forgets ingress nodes without recent requests, and reports a server that has gone silent. */
  HostedServerEvidence atTick(ServiceBaseline baseline, long nowNanos) {
    long limitNanos = Math.max(MIN_SILENCE_NANOS, baseline.latency().overdueAfterNanos());
    boolean silent =
        outstanding >= MIN_OUTSTANDING_FOR_SILENCE && nowNanos - waitingSinceNanos >= limitNanos;
    HostedServerEvidence pruned =
        toBuilder()
            .lastRequestNanosByIngress(
                lastRequestNanosByIngress.filterValues(
                    last -> nowNanos - last < INGRESS_EXPIRY_NANOS))
            .build();
    return silent
        ? pruned.withReport(HostReport.SILENT, nowNanos)
        : pruned.withRunningEvidence(baseline, nowNanos);
  }

  /** Adds the evidence of runs that take long and have not ended. */
  private HostedServerEvidence withRunningEvidence(ServiceBaseline baseline, long nowNanos) {
    HostedRuns updated = runs.withEvidence(baseline.latency(), nowNanos);
    double newNats = updated.countedNats() - runs.countedNats();
    if (newNats <= 0) {
      return this;
    }
    return withBadOutcome(Outcome.ofRunning(newNats), baseline, nowNanos).toBuilder()
        .runs(updated)
        .build();
  }

  private HostedServerEvidence withBadOutcome(
      Outcome outcome, ServiceBaseline baseline, long nowNanos) {
    boolean expired = nowNanos - lastBadOutcomeNanos > EXPIRY_NANOS;
    Evidence before = expired ? Evidence.NONE : evidence;
    return toBuilder()
        .evidence(before.withOutcome(outcome, baseline, nowNanos))
        .lastBadOutcomeNanos(nowNanos)
        .build()
        .withReportIfConclusive(true, nowNanos);
  }

  private HostedServerEvidence withReportIfConclusive(boolean bad, long nowNanos) {
    if (!bad || !evidence.isConclusive()) {
      return this;
    }
    return withReport(evidence.isMostlyFailing() ? HostReport.FAILING : HostReport.SLOW, nowNanos);
  }

  private HostedServerEvidence withReport(HostReport next, long nowNanos) {
    return toBuilder().lastReportNanos(nowNanos).lastReport(next).build();
  }

  /** Returns the last report, or healthy once it has expired. */
  HostReport currentReport(long nowNanos) {
    return nowNanos - lastReportNanos < EXPIRY_NANOS ? lastReport : HostReport.HEALTHY;
  }

  Set<NodeId> recentIngressNodes() {
    return lastRequestNanosByIngress.keySet();
  }

  /** Returns the ingress nodes with recent requests, the one with the latest request first. */
  Vector<NodeId> ingressNodesByLastRequest() {
    return lastRequestNanosByIngress
        .toVector()
        .sortBy(request -> -request._2())
        .map(request -> request._1());
  }

  boolean isUnused() {
    return outstanding == 0 && lastRequestNanosByIngress.isEmpty();
  }

  private Builder toBuilder() {
    return new Builder(service)
        .evidence(evidence)
        .outstanding(outstanding)
        .waitingSinceNanos(waitingSinceNanos)
        .lastBadOutcomeNanos(lastBadOutcomeNanos)
        .lastReportNanos(lastReportNanos)
        .lastReport(lastReport)
        .lastGoodResponseNanos(lastGoodResponseNanos)
        .idleNotices(idleNotices)
        .lastRequestNanosByIngress(lastRequestNanosByIngress)
        .runs(runs);
  }

  /** Builds {@link HostedServerEvidence}, at first of a server without any requests. */
  private static final class Builder {
    private final ServiceId service;
    private Evidence evidence = Evidence.NONE;
    private int outstanding;
    private long waitingSinceNanos = NEVER_NANOS;
    private long lastBadOutcomeNanos = NEVER_NANOS;
    private long lastReportNanos = NEVER_NANOS;
    private HostReport lastReport = HostReport.HEALTHY;
    private long lastGoodResponseNanos = NEVER_GOOD_NANOS;
    private int idleNotices;
    private Map<NodeId, Long> lastRequestNanosByIngress = HashMap.empty();
    private HostedRuns runs = HostedRuns.NONE;

    Builder(ServiceId service) {
      this.service = service;
    }

    Builder evidence(Evidence next) {
      evidence = next;
      return this;
    }

    Builder outstanding(int next) {
      outstanding = next;
      return this;
    }

    Builder waitingSinceNanos(long next) {
      waitingSinceNanos = next;
      return this;
    }

    Builder lastBadOutcomeNanos(long next) {
      lastBadOutcomeNanos = next;
      return this;
    }

    Builder lastReportNanos(long next) {
      lastReportNanos = next;
      return this;
    }

    Builder lastReport(HostReport next) {
      lastReport = next;
      return this;
    }

    Builder lastGoodResponseNanos(long next) {
      lastGoodResponseNanos = next;
      return this;
    }

    Builder idleNotices(int next) {
      idleNotices = next;
      return this;
    }

    Builder lastRequestNanosByIngress(Map<NodeId, Long> next) {
      lastRequestNanosByIngress = next;
      return this;
    }

    Builder runs(HostedRuns next) {
      runs = next;
      return this;
    }

    HostedServerEvidence build() {
      return new HostedServerEvidence(
          service,
          evidence,
          outstanding,
          waitingSinceNanos,
          lastBadOutcomeNanos,
          lastReportNanos,
          lastReport,
          lastGoodResponseNanos,
          idleNotices,
          lastRequestNanosByIngress,
          runs);
    }
  }
}
