package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides what goes to the backend servers behind this host.
 *
 * <p>The host alone sends to them, so its decision needs nobody's agreement and holds while the
 * node is cut off from the others.
 */
public final class HostPolicy implements Decision<HostState, HostEvent, HostEffect> {
  /** How soon those that wait are looked at again. */
  private static final long WAKE_MILLIS = 50;

  private final FailureDomainId domain;
  private final AdmissionPolicy admissions;

  public HostPolicy(FailureDomainId domain) {
    this.domain = domain;
    this.admissions = new AdmissionPolicy(domain);
  }

  @Override
  public Step<HostState, HostEffect> decide(HostState state, HostEvent event) {
    if (event instanceof HostEvent.Admit admit) {
      return woken(admissions.admit(state, admit));
    }
    if (event instanceof HostEvent.Ended ended) {
      return ended(state, ended);
    }
    if (event instanceof HostEvent.CallFailed failed) {
      return Step.to(state.withCallFailed(failed.nowNanos()));
    }
    if (event instanceof HostEvent.Announced announced) {
      HostState next = AnnouncementPolicy.announced(state, announced);
      return published(state, admissions.proceed(next, announced.nowNanos()));
    }
    if (event instanceof HostEvent.Found found) {
      return published(state, Step.to(AnnouncementPolicy.found(state, found)));
    }
    if (event instanceof HostEvent.Tick tick) {
      HostState next = AnnouncementPolicy.expired(state, tick.nowNanos());
      return woken(published(state, admissions.proceed(next, tick.nowNanos())));
    }
    if (event instanceof HostEvent.Stop stop) {
      HostState next = state.withStopped(stop.inHand());
      return settled(published(state, admissions.proceed(next, stop.nowNanos())));
    }
    return published(state, Step.to(state.withSnapshot(((HostEvent.Configured) event).snapshot())));
  }

  private Step<HostState, HostEffect> ended(HostState state, HostEvent.Ended ended) {
    HostState next = state.ended(ended);
    Step<HostState, HostEffect> step = settled(admissions.proceed(next, ended.nowNanos()));
    Option<HostedServer> server =
        state.admissions().get(ended.admission()).flatMap(next.servers()::get);
    boolean before = server.exists(s -> isSuspected(state, s.announcement().server()));
    boolean after = server.exists(s -> s.health().suspected());
    return before == after
        ? step
        : step.with(new HostEffect.Judged(server.get().announcement().server(), after, ended));
  }

  private static boolean isSuspected(HostState state, BackendServerId server) {
    return state.servers().get(server).exists(known -> known.health().suspected());
  }

  /** Asks for a tick while requests wait. */
  private static Step<HostState, HostEffect> woken(Step<HostState, HostEffect> step) {
    return step.state().waiting().isEmpty() ? step : step.with(new HostEffect.Wake(WAKE_MILLIS));
  }

  /** Tells what a stopping host has in hand. */
  private static Step<HostState, HostEffect> settled(Step<HostState, HostEffect> step) {
    HostState state = step.state();
    return step.withAll(
        state.stopped().map(told -> new HostEffect.InHand(told, state.admissions().size())));
  }

  private Step<HostState, HostEffect> published(
      HostState before, Step<HostState, HostEffect> step) {
    Vector<Announcement> serving = serving(step.state());
    boolean same = placements(serving).equals(placements(serving(before)));
    return same ? step : step.with(new HostEffect.Publish(serving));
  }

  private Vector<Announcement> serving(HostState state) {
    if (!state.snapshot().isDomainInService(domain) || state.stopped().isDefined()) {
      return Vector.empty();
    }
    return state
        .servers()
        .values()
        .filter(HostedServer::takesWork)
        .map(HostedServer::announcement)
        .filter(announcement -> !state.snapshot().isDrained(announcement.server()))
        .sortBy(Announcement::server)
        .toVector();
  }

  /** What other nodes know of a backend server; its load and uptime stay on this node. */
  private static Vector<Placement> placements(Vector<Announcement> serving) {
    return serving.map(a -> new Placement(a.server().value(), a.service().value(), a.slots()));
  }

  private record Placement(String server, String service, int slots) {}
}
