package org.clementinepost.testing.backend;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.Step;

/** Decides how the stand-in of a backend server reacts to requests and control messages. */
final class BackendDecision
    implements Decision<BackendState, BackendDecision.Event, BackendEffect> {
  private static final int OK_STATUS = 200;
  private static final int SERVER_ERROR_STATUS = 500;
  private static final int GATEWAY_TIMEOUT_STATUS = 504;

  private final BackendSettings settings;

  BackendDecision(BackendSettings settings) {
    this.settings = settings;
  }

  /** A message with the current time and a random number between 0 and 1. */
  record Event(BackendMessage message, long nowMillis, double randomFraction) {}

  @Override
  public Step<BackendState, BackendEffect> decide(BackendState state, Event event) {
    BackendMessage message = event.message();
    if (message instanceof BackendMessage.RequestStarted request) {
      return startRequest(state, request, event);
    }
    if (message instanceof BackendMessage.RequestEnded request) {
      return endRequest(state, request, event);
    }
    if (message instanceof BackendMessage.ConnectionCountChanged connections) {
      int open = state.openConnections() + connections.delta();
      return Step.to(
          state
              .withOpenConnections(open)
              .withStatistics(state.statistics().withObservation(false, open)));
    }
    if (message instanceof BackendMessage.SetHealth setHealth) {
      return setHealth(state, setHealth, event);
    }
    if (message instanceof BackendMessage.GetStatistics getStatistics) {
      return Step.to(
          state, new BackendEffect.SendReply<>(getStatistics.reply(), state.statistics()));
    }
    if (message instanceof BackendMessage.Drain drain) {
      BackendState draining = state.withLifecycle(Lifecycle.DRAINING);
      return Step.to(draining, announcement(draining, event, drain.reply()));
    }
    if (message instanceof BackendMessage.StopWhenIdle stop) {
      return stopWhenIdle(state.withStopReply(stop.reply()), event);
    }
    return announce(state, event);
  }

  private Step<BackendState, BackendEffect> startRequest(
      BackendState before, BackendMessage.RequestStarted request, Event event) {
    BackendState state =
        before.withStatistics(
            before
                .statistics()
                .withObservation(request.hasAuthorization(), before.openConnections()));
    boolean limitedByColdStart =
        event.nowMillis() < state.coldUntilMillis() && state.busySlots() >= settings.coldSlots();
    boolean full = state.busySlots() >= settings.slots();
    if (limitedByColdStart || full || state.lifecycle() == Lifecycle.GONE) {
      return Step.to(
          state.withStatistics(
              state.statistics().increment(limitedByColdStart ? Counter.COLD_SHED : Counter.SHED)),
          new BackendEffect.SendReply<>(request.reply(), new Admission.Shed(limitedByColdStart)));
    }
    return runRequest(state, request, event);
  }

  private Step<BackendState, BackendEffect> runRequest(
      BackendState state, BackendMessage.RequestStarted request, Event event) {
    HealthControl health = state.health().forRequest(event.randomFraction());
    long latencyMillis =
        health.latencyMillis(request.requestedLatencyMillis().getOrElse(settings.latencyMillis()));
    boolean frozen = health.mode() == HealthMode.FROZEN;
    boolean exceedsDeadline =
        request.timeoutMillis() > 0 && latencyMillis > request.timeoutMillis();
    int busy = state.busySlots() + 1;
    RequestStatistics statistics = recordRun(state, request, busy, exceedsDeadline && !frozen);
    long delayMillis = exceedsDeadline ? request.timeoutMillis() : latencyMillis;
    Admission admission =
        frozen
            ? new Admission.Hang()
            : new Admission.Run(
                delayMillis,
                statusOf(health, exceedsDeadline),
                statistics.count(Counter.TOTAL_RUNS));
    return Step.to(
        state.withBusySlots(busy).withStatistics(statistics),
        new BackendEffect.SendReply<>(request.reply(), admission));
  }

  private static RequestStatistics recordRun(
      BackendState state,
      BackendMessage.RequestStarted request,
      int busySlots,
      boolean deadlinePassed) {
    RequestStatistics statistics = state.statistics().withRun(request.requestId(), busySlots);
    if (deadlinePassed) {
      statistics = statistics.increment(Counter.DEADLINES_PASSED);
    }
    return state.lifecycle() == Lifecycle.DRAINING
        ? statistics.increment(Counter.RUNS_WHILE_DRAINING)
        : statistics;
  }

  private static int statusOf(HealthControl health, boolean exceedsDeadline) {
    if (exceedsDeadline) {
      return GATEWAY_TIMEOUT_STATUS;
    }
    return health.mode() == HealthMode.WRONG ? SERVER_ERROR_STATUS : OK_STATUS;
  }

  private static Step<BackendState, BackendEffect> endRequest(
      BackendState state, BackendMessage.RequestEnded request, Event event) {
    RequestStatistics statistics =
        request.cancelled() ? state.statistics().increment(Counter.CANCELLED) : state.statistics();
    return stopWhenIdle(
        state.withBusySlots(state.busySlots() - 1).withStatistics(statistics), event);
  }

  private Step<BackendState, BackendEffect> setHealth(
      BackendState state, BackendMessage.SetHealth setHealth, Event event) {
    BackendEffect confirmation =
        new BackendEffect.SendReply<>(setHealth.reply(), setHealth.health());
    return switch (setHealth.health().mode()) {
      case COLD ->
          Step.to(
              state.withColdUntil(event.nowMillis() + settings.coldStartMillis()), confirmation);
      case DRAINING -> {
        BackendState draining = state.withLifecycle(Lifecycle.DRAINING);
        yield Step.to(
            draining, Vector.of(confirmation, announcement(draining, event, Reply.ignored())));
      }
      case HEALTHY -> Step.to(withServing(state).withHealth(setHealth.health()), confirmation);
      default -> Step.to(state.withHealth(setHealth.health()), confirmation);
    };
  }

  private static BackendState withServing(BackendState state) {
    return state.stopReply().isEmpty() ? state.withLifecycle(Lifecycle.SERVING) : state;
  }

  private static Step<BackendState, BackendEffect> stopWhenIdle(BackendState state, Event event) {
    if (state.busySlots() > 0 || state.stopReply().isEmpty()) {
      return Step.to(state);
    }
    BackendState gone = state.withLifecycle(Lifecycle.GONE);
    return Step.to(gone, announcement(gone, event, state.stopReply().get()));
  }

  private static Step<BackendState, BackendEffect> announce(BackendState state, Event event) {
    return state.lifecycle() == Lifecycle.GONE
        ? Step.to(state)
        : Step.to(state, announcement(state, event, Reply.ignored()));
  }

  private static BackendEffect announcement(
      BackendState state, Event event, Reply<Either<Failure, Lifecycle>> reply) {
    return new BackendEffect.Announce(
        state.lifecycle(), event.nowMillis() - state.startedMillis(), state.busySlots(), reply);
  }
}
