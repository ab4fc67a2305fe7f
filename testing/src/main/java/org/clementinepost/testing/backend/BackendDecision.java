package org.clementinepost.testing.backend;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.Step;

/** Decides how a backend server meets its requests and orders. */
final class BackendDecision
    implements Decision<BackendState, BackendDecision.Event, BackendEffect> {
  private static final int OK_STATUS = 200;
  private static final int SERVER_ERROR_STATUS = 500;
  private static final int GATEWAY_TIMEOUT_STATUS = 504;

  private final BackendSettings settings;

  BackendDecision(BackendSettings settings) {
    this.settings = settings;
  }

  /** A message with the time, and a number drawn between zero and one. */
  record Event(BackendMessage message, long nowMillis, double randomFraction) {}

  @Override
  public Step<BackendState, BackendEffect> decide(BackendState state, Event event) {
    BackendMessage message = event.message();
    if (message instanceof BackendMessage.RequestStarted begin) {
      return startRequest(state, begin, event);
    }
    if (message instanceof BackendMessage.RequestEnded end) {
      return endRequest(state, end, event);
    }
    if (message instanceof BackendMessage.ConnectionCountChanged connections) {
      int open = state.openConnections() + connections.delta();
      return Step.to(
          state
              .withOpenConnections(open)
              .withStatistics(state.statistics().withObservation(false, open)));
    }
    if (message instanceof BackendMessage.SetHealth control) {
      return setHealth(state, control, event);
    }
    if (message instanceof BackendMessage.GetStatistics read) {
      return Step.to(state, new BackendEffect.SendReply<>(read.reply(), state.statistics()));
    }
    if (message instanceof BackendMessage.Drain drain) {
      BackendState draining = state.withLifecycle(Lifecycle.DRAINING);
      return Step.to(draining, announcement(draining, event, drain.reply()));
    }
    if (message instanceof BackendMessage.StopWhenIdle leave) {
      return stopWhenIdle(state.withStopReply(leave.reply()), event);
    }
    return announce(state, event);
  }

  private Step<BackendState, BackendEffect> startRequest(
      BackendState before, BackendMessage.RequestStarted begin, Event event) {
    BackendState state =
        before.withStatistics(
            before
                .statistics()
                .withObservation(begin.hasAuthorization(), before.openConnections()));
    boolean cold =
        event.nowMillis() < state.coldUntilMillis() && state.busySlots() >= settings.coldSlots();
    boolean full = state.busySlots() >= settings.slots();
    if (cold || full || state.lifecycle() == Lifecycle.GONE) {
      return Step.to(
          state.withStatistics(
              state.statistics().increment(cold ? Counter.COLD_SHED : Counter.SHED)),
          new BackendEffect.SendReply<>(begin.reply(), new Admission.Shed(cold)));
    }
    return runRequest(state, begin, event);
  }

  private Step<BackendState, BackendEffect> runRequest(
      BackendState state, BackendMessage.RequestStarted begin, Event event) {
    HealthControl health = state.health().forRequest(event.randomFraction());
    long latencyMillis =
        health.latencyMillis(begin.requestedLatencyMillis().getOrElse(settings.latencyMillis()));
    boolean frozen = health.mode() == HealthMode.FROZEN;
    boolean late = begin.timeoutMillis() > 0 && latencyMillis > begin.timeoutMillis();
    int busy = state.busySlots() + 1;
    RequestStatistics received = recordRun(state, begin, busy, late && !frozen);
    long delayMillis = late ? begin.timeoutMillis() : latencyMillis;
    Admission admission =
        frozen
            ? new Admission.Hang()
            : new Admission.Run(
                delayMillis, statusOf(health, late), received.count(Counter.TOTAL_RUNS));
    return Step.to(
        state.withBusySlots(busy).withStatistics(received),
        new BackendEffect.SendReply<>(begin.reply(), admission));
  }

  private static RequestStatistics recordRun(
      BackendState state,
      BackendMessage.RequestStarted begin,
      int busySlots,
      boolean deadlinePassed) {
    RequestStatistics received = state.statistics().withRun(begin.requestId(), busySlots);
    if (deadlinePassed) {
      received = received.increment(Counter.DEADLINES_PASSED);
    }
    return state.lifecycle() == Lifecycle.DRAINING
        ? received.increment(Counter.RUNS_WHILE_DRAINING)
        : received;
  }

  private static int statusOf(HealthControl health, boolean late) {
    if (late) {
      return GATEWAY_TIMEOUT_STATUS;
    }
    return health.mode() == HealthMode.WRONG ? SERVER_ERROR_STATUS : OK_STATUS;
  }

  private static Step<BackendState, BackendEffect> endRequest(
      BackendState state, BackendMessage.RequestEnded end, Event event) {
    RequestStatistics received =
        end.cancelled() ? state.statistics().increment(Counter.CANCELLED) : state.statistics();
    return stopWhenIdle(state.withBusySlots(state.busySlots() - 1).withStatistics(received), event);
  }

  private Step<BackendState, BackendEffect> setHealth(
      BackendState state, BackendMessage.SetHealth control, Event event) {
    BackendEffect done = new BackendEffect.SendReply<>(control.reply(), control.health());
    return switch (control.health().mode()) {
      case COLD ->
          Step.to(state.withColdUntil(event.nowMillis() + settings.coldStartMillis()), done);
      case DRAINING -> {
        BackendState draining = state.withLifecycle(Lifecycle.DRAINING);
        yield Step.to(draining, Vector.of(done, announcement(draining, event, Reply.ignored())));
      }
      case HEALTHY -> Step.to(withServing(state).withHealth(control.health()), done);
      default -> Step.to(state.withHealth(control.health()), done);
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
