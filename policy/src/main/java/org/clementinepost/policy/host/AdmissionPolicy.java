package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Service;
import org.clementinepost.kernel.Step;

/**
 * Decides which requests are sent to a backend server, which wait for it, and which are refused.
 *
 * <p>A request waits only as long as its answer can still be worth most; the more urgent goes
 * first. Whatever is refused here has not run.
 */
final class AdmissionPolicy {
  /** The part of the time within which an answer is worth most that a request may wait. */
  private static final int PATIENCE_DIVISOR = 4;

  /**
   * What is left of a request's time when it stops waiting.
   *
   * <p>Those that wait are looked at every 50 ms; the ingress must have the host's word, by which
   * the request has not run, before it gives the request up as one whose fate is unknown.
   */
  private static final long MIN_LEFT_MILLIS = 100;

  /** Requests that wait for each slot at most. */
  private static final int WAITING_PER_SLOT = 1;

  private final FailureDomainId domain;

  AdmissionPolicy(FailureDomainId domain) {
    this.domain = domain;
  }

  Step<HostState, HostEffect> admit(HostState state, HostEvent.Admit admit) {
    Either<Failure, HostedServer> server = open(state, admit.server());
    if (server.isLeft()) {
      return Step.to(state, refused(admit, server.getLeft()));
    }
    Option<ResultCode> spared = SparingPolicy.spared(server.get(), admit);
    if (spared.isDefined()) {
      return Step.to(state, refused(admit, Failure.of(spared.get(), admit.server().value())));
    }
    if (hasRoom(state, server.get(), admit.nowNanos())) {
      return admitted(state, server.get(), admit, admit.nowNanos());
    }
    long patienceNanos = patienceNanos(admit);
    int waiting = state.waiting().count(w -> w.admit().server().equals(admit.server()));
    int mostWaiting = server.get().announcement().slots() * WAITING_PER_SLOT;
    if (patienceNanos == 0 || waiting >= mostWaiting) {
      return Step.to(
          state, refused(admit, Failure.of(ResultCode.HOST_QUEUE_FULL, admit.server().value())));
    }
    WaitingRequest request = new WaitingRequest(admit, admit.nowNanos() + patienceNanos);
    return Step.to(
        state.withWaiting(state.waiting().append(request).sorted(WaitingRequest.URGENCY)));
  }

  private static AdmissionMode insistence(HostEvent.Admit admit) {
    return admit.head().options().admissionMode();
  }

  private static long patienceNanos(HostEvent.Admit admit) {
    if (insistence(admit) == AdmissionMode.FREE_SLOT_ONLY) {
      return 0;
    }
    long worthMillis = admit.head().options().targetLatencyMillis() / PATIENCE_DIVISOR;
    long leftMillis = admit.head().timeoutMillis() - MIN_LEFT_MILLIS;
    return TimeUnit.MILLISECONDS.toNanos(Math.max(0, Math.min(worthMillis, leftMillis)));
  }

  /** Whether a backend server takes work at all. */
  private Either<Failure, HostedServer> open(HostState state, BackendServerId server) {
    Option<HostedServer> hosted = state.servers().get(server);
    if (state.stopped().isDefined()) {
      return Either.left(Failure.of(ResultCode.NODE_STOPPING));
    }
    if (hosted.isEmpty()) {
      ResultCode code =
          state.departed().containsKey(server)
              ? ResultCode.BACKEND_SERVER_DRAINING
              : ResultCode.BACKEND_SERVER_UNKNOWN;
      return Either.left(Failure.of(code, server.value()));
    }
    if (!hosted.get().takesWork() || state.snapshot().isDrained(server)) {
      return Either.left(Failure.of(ResultCode.BACKEND_SERVER_DRAINING, server.value()));
    }
    if (!state.snapshot().isDomainInService(domain)) {
      return Either.left(Failure.of(ResultCode.FAILURE_DOMAIN_OUT, domain.value()));
    }
    return Either.right(hosted.get());
  }

  private static boolean hasRoom(HostState state, HostedServer server, long nowNanos) {
    if (server.busySlots() >= server.announcement().slots()) {
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
        || server.admittedWithin(HostedServer.RATE_WINDOW_NANOS, nowNanos) < coldPerSecond;
  }

  private static Step<HostState, HostEffect> admitted(
      HostState state, HostedServer server, HostEvent.Admit admit, long nowNanos) {
    Admission admission =
        new Admission(state.nextAdmission(), admit.server(), server.announcement().address());
    return Step.to(
        state.admitted(server.admitted(nowNanos)),
        new HostEffect.Admitted(
            admit.server(), admit.head(), Either.right(admission), admit.reply()));
  }

  private static HostEffect refused(HostEvent.Admit admit, Failure failure) {
    return new HostEffect.Admitted(
        admit.server(), admit.head(), Either.left(failure), admit.reply());
  }

  /** Lets those that wait go as far as there is room, and refuses those that waited too long. */
  Step<HostState, HostEffect> proceed(HostState state, long nowNanos) {
    Step<HostState, HostEffect> step = Step.to(state.withWaiting(Vector.empty()));
    Vector<WaitingRequest> left = Vector.empty();
    for (WaitingRequest request : state.waiting()) {
      Either<Failure, HostedServer> server = open(step.state(), request.admit().server());
      if (server.isLeft()) {
        step = step.with(refused(request.admit(), server.getLeft()));
        continue;
      }
      if (SparingPolicy.isHeldBack(server.get(), request.admit())) {
        step =
            step.with(
                refused(
                    request.admit(),
                    Failure.of(
                        ResultCode.BACKEND_SERVER_FAILING, request.admit().server().value())));
        continue;
      }
      if (hasRoom(step.state(), server.get(), nowNanos)) {
        step = step.then(s -> admitted(s, server.get(), request.admit(), nowNanos));
        continue;
      }
      if (nowNanos >= request.untilNanos()) {
        step =
            step.with(
                refused(
                    request.admit(),
                    Failure.of(ResultCode.HOST_QUEUE_TIMEOUT, request.admit().server().value())));
        continue;
      }
      left = left.append(request);
    }
    return Step.to(step.state().withWaiting(left), step.effects());
  }
}
