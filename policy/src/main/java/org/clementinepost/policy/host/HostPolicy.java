package org.clementinepost.policy.host;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides what goes to the backend servers behind this host.
 *
 * <p>The host alone sends to them, so its decision needs nobody's agreement and holds while the
 * node is cut off from the others.
 */
public final class HostPolicy implements Decision<HostState, HostEvent, HostEffect> {
  private static final long ANNOUNCEMENT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final FailureDomainId domain;

  public HostPolicy(FailureDomainId domain) {
    this.domain = domain;
  }

  @Override
  public Step<HostState, HostEffect> decide(HostState state, HostEvent event) {
    if (event instanceof HostEvent.Admit admit) {
      return admit(state, admit);
    }
    if (event instanceof HostEvent.Ended ended) {
      return Step.to(ended(state, ended.admission()));
    }
    if (event instanceof HostEvent.Announced announced) {
      return published(state, announced(state, announced));
    }
    if (event instanceof HostEvent.Tick tick) {
      return published(state, expired(state, tick.nowNanos()));
    }
    return published(state, state.withSnapshot(((HostEvent.Configured) event).snapshot()));
  }

  private Step<HostState, HostEffect> admit(HostState state, HostEvent.Admit admit) {
    Either<Failure, HostedServer> server = admissible(state, admit.server());
    if (server.isLeft()) {
      return Step.to(state, answer(admit, Either.left(server.getLeft())));
    }
    HostedServer next = server.get().withBusySlots(server.get().busySlots() + 1);
    Admission admission =
        new Admission(state.nextAdmission(), admit.server(), next.announcement().address());
    HostState admitted =
        new HostState(
            state.servers().put(admit.server(), next),
            state.admissions().put(admission.number(), admit.server()),
            state.nextAdmission() + 1,
            state.snapshot());
    return Step.to(admitted, answer(admit, Either.right(admission)));
  }

  private Either<Failure, HostedServer> admissible(HostState state, BackendServerId server) {
    Option<HostedServer> hosted = state.servers().get(server);
    if (hosted.isEmpty()) {
      return Either.left(Failure.of(ResultCode.NO_BACKEND_SERVER, server.value()));
    }
    if (!hosted.get().takesWork() || state.snapshot().isDrained(server)) {
      return Either.left(Failure.of(ResultCode.BACKEND_SERVER_DRAINING, server.value()));
    }
    if (!state.snapshot().domainInService(domain)) {
      return Either.left(Failure.of(ResultCode.FAILURE_DOMAIN_OUT, domain.value()));
    }
    if (hosted.get().busySlots() >= hosted.get().announcement().slots()) {
      return Either.left(Failure.of(ResultCode.HOST_QUEUE_FULL, server.value()));
    }
    return Either.right(hosted.get());
  }

  private static HostEffect answer(HostEvent.Admit admit, Either<Failure, Admission> answer) {
    return new HostEffect.Admitted(admit.server(), admit.head(), answer, admit.reply());
  }

  private static HostState ended(HostState state, long admission) {
    Option<BackendServerId> server = state.admissions().get(admission);
    Option<HostedServer> hosted = server.flatMap(state.servers()::get);
    Map<BackendServerId, HostedServer> servers =
        hosted.isEmpty()
            ? state.servers()
            : state
                .servers()
                .put(server.get(), hosted.get().withBusySlots(hosted.get().busySlots() - 1));
    return new HostState(
        servers, state.admissions().remove(admission), state.nextAdmission(), state.snapshot());
  }

  private static HostState announced(HostState state, HostEvent.Announced announced) {
    Announcement announcement = announced.announcement();
    if (announcement.state() == Announcement.State.GONE) {
      return state.withServers(state.servers().remove(announcement.server()));
    }
    int busySlots =
        state.servers().get(announcement.server()).map(HostedServer::busySlots).getOrElse(0);
    return state.withServer(new HostedServer(announcement, announced.nowNanos(), busySlots));
  }

  private static HostState expired(HostState state, long nowNanos) {
    return state.withServers(
        state
            .servers()
            .filterValues(
                server -> nowNanos - server.announcedNanos() < ANNOUNCEMENT_LIFETIME_NANOS));
  }

  private Step<HostState, HostEffect> published(HostState before, HostState after) {
    Vector<Announcement> serving = serving(after);
    boolean same = placements(serving).equals(placements(serving(before)));
    return same ? Step.to(after) : Step.to(after, new HostEffect.Publish(serving));
  }

  private Vector<Announcement> serving(HostState state) {
    if (!state.snapshot().domainInService(domain)) {
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
