package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Service;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.host.ReviewedRequest.Verdict;

/**
 * Decides which requests are sent to a backend server, which wait for a slot, and which are
 * refused.
 *
 * <p>{@link QueueDiscipline} decides which requests wait, and in which order they are admitted. A
 * request that is refused here has not run.
 */
final class AdmissionPolicy {
  private final FailureDomainId domain;
  private final QueueDiscipline queue;

  AdmissionPolicy(FailureDomainId domain, QueueDiscipline queue) {
    this.domain = domain;
    this.queue = queue;
  }

  Step<HostState, HostEffect> admit(HostState before, HostEvent.Admit admit) {
    HostState state = withIdempotentRequest(before, admit);
    Either<Failure, HostedServer> server = findOpenServer(state, admit.server());
    if (server.isLeft()) {
      return Step.to(state, refusal(admit, server.getLeft()));
    }
    Option<ResultCode> refusalCode = HealthAdmissionPolicy.refusalCode(server.get(), admit);
    if (refusalCode.isDefined()) {
      return Step.to(state, refusal(admit, Failure.of(refusalCode.get(), admit.server().value())));
    }
    if (hasCapacity(state, server.get(), admit.nowNanos())) {
      return grant(state, server.get(), admit, Option.none(), admit.nowNanos());
    }
    return queue.enqueue(state, server.get(), admit);
  }

  private static HostState withIdempotentRequest(HostState state, HostEvent.Admit admit) {
    if (!admit.head().idempotent()) {
      return state;
    }
    return state
        .servers()
        .get(admit.server())
        .map(server -> state.withServer(server.withIdempotentRequest(admit.nowNanos())))
        .getOrElse(state);
  }

  /** Returns the backend server if it accepts requests at all, or why it does not. */
  Either<Failure, HostedServer> findOpenServer(HostState state, BackendServerId server) {
    Option<HostedServer> hosted = state.servers().get(server);
    if (state.stopListener().isDefined()) {
      return Either.left(Failure.of(ResultCode.NODE_STOPPING));
    }
    if (hosted.isEmpty()) {
      ResultCode code =
          state.departed().contains(server)
              ? ResultCode.BACKEND_SERVER_DRAINING
              : ResultCode.BACKEND_SERVER_UNKNOWN;
      return Either.left(Failure.of(code, server.value()));
    }
    if (!hosted.get().isServing() || state.snapshot().isDrained(server)) {
      return Either.left(Failure.of(ResultCode.BACKEND_SERVER_DRAINING, server.value()));
    }
    if (!state.snapshot().isDomainInService(domain)) {
      return Either.left(Failure.of(ResultCode.FAILURE_DOMAIN_OUT, domain.value()));
    }
    return Either.right(hosted.get());
  }

  static boolean hasCapacity(HostState state, HostedServer server, long nowNanos) {
    if (server.inFlight() >= server.announcement().slots()) {
      return false;
    }
    double coldPerSecond =
        state
            .snapshot()
            .services()
            .get(server.announcement().service())
            .map(Service::coldRequestsPerSecond)
            .getOrElse(0.0);
    return coldPerSecond == 0
        || !server.isCold(nowNanos)
        || server.countAdmissionsWithin(HostedServer.RATE_WINDOW_NANOS, nowNanos) < coldPerSecond;
  }

  private Step<HostState, HostEffect> grant(
      HostState state,
      HostedServer server,
      HostEvent.Admit admit,
      Option<QueueGroup> group,
      long nowNanos) {
    Admission admission =
        new Admission(state.nextAdmissionId(), admit.server(), server.announcement().address());
    return Step.to(
        state.withAdmission(
            server.withAdmission(nowNanos),
            admit.head(),
            queue.charge(state, server, admit.head()),
            nowNanos),
        new HostEffect.AdmissionDecided(
            admit.server(),
            admit.head(),
            Either.right(admission),
            nowNanos - admit.nowNanos(),
            server.health().suspected(),
            group,
            Option.none(),
            admit.reply()));
  }

  static HostEffect refusal(HostEvent.Admit admit, Failure failure) {
    return refusal(admit, failure, Option.none(), admit.nowNanos());
  }

  static HostEffect refusal(
      HostEvent.Admit admit, Failure failure, Option<QueueGroup> group, long nowNanos) {
    return new HostEffect.AdmissionDecided(
        admit.server(),
        admit.head(),
        Either.left(failure),
        nowNanos - admit.nowNanos(),
        false,
        group,
        Option.none(),
        admit.reply());
  }

  /** Refuses a request that the queue of a backend server does not take. */
  static HostEffect queueRefusal(
      HostEvent.Admit admit,
      Failure failure,
      QueueRefusal cause,
      Option<QueueGroup> group,
      long nowNanos) {
    return new HostEffect.AdmissionDecided(
        admit.server(),
        admit.head(),
        Either.left(failure),
        nowNanos - admit.nowNanos(),
        false,
        group,
        Option.some(cause),
        admit.reply());
  }

  /**
   * Admits waiting requests as far as there is capacity, and refuses those that have waited too
   * long or whose backend server no longer accepts them.
   */
  Step<HostState, HostEffect> processQueue(HostState state, long nowNanos) {
    if (state.waiting().isEmpty()) {
      return Step.to(state);
    }
    Step<HostState, HostEffect> step = Step.to(state.withWaiting(Vector.empty()));
    List<WaitingRequest> stillWaiting = new ArrayList<>();
    Map<BackendServerId, Either<Failure, HostedServer>> openServers = new HashMap<>();
    for (ReviewedRequest reviewed : queue.review(state, nowNanos)) {
      HostEvent.Admit admit = reviewed.request().admit();
      HostState current = step.state();
      Either<Failure, HostedServer> server =
          openServers.computeIfAbsent(admit.server(), id -> findOpenServer(current, id));
      if (server.isLeft()) {
        step = step.with(refusal(admit, server.getLeft(), reviewed.group(), nowNanos));
        continue;
      }
      if (HealthAdmissionPolicy.isRefusedAsSuspected(server.get(), admit)) {
        Failure failing = Failure.of(ResultCode.BACKEND_SERVER_FAILING, admit.server().value());
        step = step.with(refusal(admit, failing, reviewed.group(), nowNanos));
        continue;
      }
      if (reviewed.verdict() == Verdict.REFUSE) {
        step = step.with(refusal(admit, reviewed.failure(), reviewed.group(), nowNanos));
        continue;
      }
      if (hasCapacity(current, server.get(), nowNanos)) {
        openServers.remove(admit.server());
        step = step.then(s -> grant(s, server.get(), admit, reviewed.group(), nowNanos));
        continue;
      }
      if (reviewed.verdict() == Verdict.ADMIT_OR_REFUSE) {
        step = step.with(refusal(admit, reviewed.failure(), reviewed.group(), nowNanos));
        continue;
      }
      stillWaiting.add(reviewed.request());
    }
    return Step.to(step.state().withWaiting(Vector.ofAll(stillWaiting)), step.effects());
  }
}
