package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides which backend servers of its VM a host publishes and which requests it sends to them.
 *
 * <p>Requests reach these servers through this host only, so its decisions need no agreement with
 * other nodes and stay valid during a network partition.
 */
public final class HostPolicy implements Decision<HostState, HostEvent, HostEffect> {
  /** The interval at which waiting requests are checked. */
  private static final long QUEUE_CHECK_MILLIS = 50;

  private final FailureDomainId domain;
  private final AdmissionPolicy admissionPolicy;
  private final LoadReportPolicy loadReportPolicy;

  /** Creates a policy whose queue is ordered by urgency. */
  public HostPolicy(FailureDomainId domain) {
    this(domain, QueueDiscipline.byUrgency());
  }

  /** Creates a policy with the given queue. */
  public HostPolicy(FailureDomainId domain, QueueDiscipline queue) {
    this.domain = domain;
    this.admissionPolicy = new AdmissionPolicy(domain, queue);
    this.loadReportPolicy = new LoadReportPolicy(admissionPolicy, queue);
  }

  @Override
  public Step<HostState, HostEffect> decide(HostState state, HostEvent event) {
    Step<HostState, HostEffect> step = react(state, event);
    int waiting = step.state().waiting().size();
    return waiting == state.waiting().size()
        ? step
        : step.with(new HostEffect.WaitingChanged(waiting));
  }

  private Step<HostState, HostEffect> react(HostState state, HostEvent event) {
    if (event instanceof HostEvent.Admit admit) {
      return scheduleTickIfWaiting(admissionPolicy.admit(state, admit));
    }
    if (event instanceof HostEvent.RequestEnded ended) {
      return onRequestEnded(state, ended);
    }
    if (event instanceof HostEvent.ReportLoad query) {
      return Step.to(state, loadReportPolicy.report(state, query));
    }
    if (event instanceof HostEvent.OutgoingCallFailed failed) {
      return Step.to(state.withOutgoingCallFailure(failed.nowNanos()));
    }
    if (event instanceof HostEvent.Announced announced) {
      HostState next = AnnouncementPolicy.onAnnouncement(state, announced);
      return publishIfChanged(state, admissionPolicy.processQueue(next, announced.nowNanos()));
    }
    if (event instanceof HostEvent.DeparturesRestored restored) {
      return publishIfChanged(
          state, Step.to(AnnouncementPolicy.onDeparturesRestored(state, restored.departures())));
    }
    if (event instanceof HostEvent.Discovered discovered) {
      return publishIfChanged(state, Step.to(AnnouncementPolicy.onDiscovery(state, discovered)));
    }
    if (event instanceof HostEvent.Tick tick) {
      return scheduleTickIfWaiting(publishIfChanged(state, onTick(state, tick.nowNanos())));
    }
    if (event instanceof HostEvent.Stop stop) {
      HostState next = state.withStopListener(stop.listener());
      return reportInFlightIfStopping(
          publishIfChanged(state, admissionPolicy.processQueue(next, stop.nowNanos())));
    }
    return publishIfChanged(
        state, Step.to(state.withSnapshot(((HostEvent.Configured) event).snapshot())));
  }

  private Step<HostState, HostEffect> onTick(HostState state, long nowNanos) {
    HostState next = AnnouncementPolicy.withoutExpired(state, nowNanos);
    Step<HostState, HostEffect> expired = SlotExpiry.release(next, nowNanos);
    Step<HostState, HostEffect> step =
        expired.then(current -> admissionPolicy.processQueue(current, nowNanos));
    return expired.effects().isEmpty() ? step : reportInFlightIfStopping(step);
  }

  private Step<HostState, HostEffect> onRequestEnded(
      HostState state, HostEvent.RequestEnded ended) {
    HostState next = state.withRequestEnded(ended);
    Option<AdmittedRequest> request = state.admissions().get(ended.admissionId());
    Step<HostState, HostEffect> step =
        reportInFlightIfStopping(admissionPolicy.processQueue(next, ended.nowNanos()))
            .withAll(request.map(admitted -> slotReleased(admitted, ended)));
    Option<HostedServer> server = request.map(AdmittedRequest::server).flatMap(next.servers()::get);
    boolean suspectedBefore = server.exists(s -> isSuspected(state, s.announcement().server()));
    boolean suspectedAfter = server.exists(s -> s.health().suspected());
    return suspectedBefore == suspectedAfter
        ? step
        : step.with(
            new HostEffect.SuspicionChanged(
                server.get().announcement().server(), suspectedAfter, ended));
  }

  private static HostEffect slotReleased(AdmittedRequest request, HostEvent.RequestEnded ended) {
    return new HostEffect.SlotReleased(request, ended.nowNanos() - request.admittedNanos(), ended);
  }

  private static boolean isSuspected(HostState state, BackendServerId server) {
    return state.servers().get(server).exists(known -> known.health().suspected());
  }

  /** Schedules a tick while requests are waiting. */
  private static Step<HostState, HostEffect> scheduleTickIfWaiting(
      Step<HostState, HostEffect> step) {
    return step.state().waiting().isEmpty()
        ? step
        : step.with(new HostEffect.ScheduleTick(QUEUE_CHECK_MILLIS));
  }

  /** Reports the number of requests in flight if the host is stopping. */
  private static Step<HostState, HostEffect> reportInFlightIfStopping(
      Step<HostState, HostEffect> step) {
    HostState state = step.state();
    return step.withAll(
        state
            .stopListener()
            .map(listener -> new HostEffect.ReportInFlight(listener, state.admissions().size())));
  }

  private Step<HostState, HostEffect> publishIfChanged(
      HostState before, Step<HostState, HostEffect> step) {
    Vector<Announcement> serving = servingServers(step.state());
    boolean unchanged = published(serving).equals(published(servingServers(before)));
    return unchanged ? step : step.with(new HostEffect.Publish(serving));
  }

  private Vector<Announcement> servingServers(HostState state) {
    if (!state.snapshot().isDomainInService(domain) || state.stopListener().isDefined()) {
      return Vector.empty();
    }
    return state
        .servers()
        .values()
        .filter(HostedServer::isServing)
        .map(HostedServer::announcement)
        .filter(announcement -> !state.snapshot().isDrained(announcement.server()))
        .sortBy(Announcement::server)
        .toVector();
  }

  /** Returns what other nodes learn about the servers; load and uptime stay on this node. */
  private static Vector<PublishedServer> published(Vector<Announcement> serving) {
    return serving.map(
        a -> new PublishedServer(a.server().value(), a.service().value(), a.slots()));
  }

  private record PublishedServer(String server, String service, int slots) {}
}
