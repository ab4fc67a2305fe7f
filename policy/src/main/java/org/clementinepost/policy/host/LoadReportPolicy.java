package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.Failure;
import org.clementinepost.api.LoadReport;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.RequestOptions;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.clementinepost.kernel.Reply;

/**
 * Tells an ingress node the load of a backend server, and whether the host would admit a request.
 *
 * <p>It answers load that few ingress nodes can see by themselves: a node that sends a few requests
 * a second has none outstanding at nearly every server, so its own counts don't distinguish a full
 * server from an idle one.
 */
final class LoadReportPolicy {
  private static final RequestId QUERY_ID = new RequestId("load-query");

  /** Slots that a server keeps for callers of its own failure domain. */
  private static final int RESERVED_SLOTS = 1;

  /**
   * The time by which the trial of a suspected server is offered later than the host would admit
   * it. An ingress node that queries hosts knows other servers, and a trial that fails costs its
   * caller a retry; the whole time without a request stays below {@code MAX_REFUSAL_NANOS}.
   */
  private static final long TRIAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final AdmissionPolicy admissionPolicy;
  private final QueueDiscipline queue;

  LoadReportPolicy(AdmissionPolicy admissionPolicy, QueueDiscipline queue) {
    this.admissionPolicy = admissionPolicy;
    this.queue = queue;
  }

  HostEffect report(HostState state, HostEvent.ReportLoad event) {
    LoadPeerMessage.Query query = event.query();
    Either<Failure, HostedServer> server = admissionPolicy.findOpenServer(state, query.server());
    LoadReport report =
        server.fold(
            failure -> LoadReport.refused(failure.code()),
            open -> report(state, open, query, event.nowNanos()));
    return new HostEffect.LoadReported(report, event.reply());
  }

  private LoadReport report(
      HostState state, HostedServer server, LoadPeerMessage.Query query, long nowNanos) {
    HostEvent.Admit request = representativeRequest(server, query, nowNanos);
    WaitingRequest waiting = new WaitingRequest(request, nowNanos);
    return new LoadReport(
        refusal(state, server, request, query.sameDomain()),
        server.inFlight(),
        state.waiting().count(w -> w.admit().server().equals(query.server())),
        server.announcement().slots(),
        queue.waitNanos(state, server, waiting, nowNanos).map(TimeUnit.NANOSECONDS::toMicros),
        server.runTimes().expectedNanos(waiting.kind()).map(TimeUnit.NANOSECONDS::toMicros));
  }

  private static Option<ResultCode> refusal(
      HostState state, HostedServer server, HostEvent.Admit request, boolean sameDomain) {
    if (isTrialDelayed(server.health(), request.nowNanos())) {
      return Option.some(ResultCode.BACKEND_SERVER_FAILING);
    }
    Option<ResultCode> byHealth = HealthAdmissionPolicy.refusalCode(server, request);
    if (byHealth.isDefined()) {
      return byHealth;
    }
    boolean admitted =
        AdmissionPolicy.hasCapacity(state, server, request.nowNanos())
            && (sameDomain || hasRoomForOtherDomains(server));
    return Option.when(!admitted, ResultCode.HOST_QUEUE_FULL);
  }

  /** Once a trial has succeeded, the next ones follow at once, so that the server is cleared. */
  private static boolean isTrialDelayed(ServerHealth health, long nowNanos) {
    return health.suspected()
        && health.trialSuccesses() == 0
        && !health.isTrialDue(nowNanos - TRIAL_DELAY_NANOS);
  }

  /** Callers of other failure domains must not take the last slots of this one. */
  private static boolean hasRoomForOtherDomains(HostedServer server) {
    return server.inFlight() + RESERVED_SLOTS < server.announcement().slots();
  }

  /**
   * Returns a request with the properties of the query on which admission depends. A query names no
   * customer, so the predicted wait is that of a caller without earlier requests.
   */
  private static HostEvent.Admit representativeRequest(
      HostedServer server, LoadPeerMessage.Query query, long nowNanos) {
    ServiceId service = server.announcement().service();
    RequestOptions options =
        new RequestOptions(
            query.priority(),
            query.targetLatencyMillis(),
            1,
            Option.when(query.callOfServer(), service),
            AdmissionMode.FREE_SLOT_ONLY);
    RequestHead head =
        new RequestHead(
            QUERY_ID,
            1,
            Option.none(),
            service,
            "GET",
            "/",
            Vector.empty(),
            query.idempotent(),
            Option.none(),
            Long.MAX_VALUE,
            RequestHead.NO_BODY,
            options);
    return new HostEvent.Admit(query.server(), head, nowNanos, Reply.ignored());
  }
}
