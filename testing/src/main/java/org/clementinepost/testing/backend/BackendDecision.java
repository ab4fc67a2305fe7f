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
  record Event(BackendMessage message, long nowMillis, double draw) {}

  @Override
  public Step<BackendState, BackendEffect> decide(BackendState state, Event event) {
    BackendMessage message = event.message();
    if (message instanceof BackendMessage.Begin begin) {
      return begin(state, begin, event);
    }
    if (message instanceof BackendMessage.End end) {
      return end(state, end, event);
    }
    if (message instanceof BackendMessage.Connections connections) {
      int open = state.connections() + connections.change();
      return Step.to(state.withConnections(open).withReceived(state.received().seen(false, open)));
    }
    if (message instanceof BackendMessage.Control control) {
      return control(state, control, event);
    }
    if (message instanceof BackendMessage.ReadReceived read) {
      return Step.to(state, new BackendEffect.Answer<>(read.reply(), state.received()));
    }
    if (message instanceof BackendMessage.Drain drain) {
      BackendState draining = state.withLifecycle(Lifecycle.DRAINING);
      return Step.to(draining, tell(draining, event, drain.reply()));
    }
    if (message instanceof BackendMessage.Leave leave) {
      return leaveWhenIdle(state.withLeaving(leave.reply()), event);
    }
    return announce(state, event);
  }

  private Step<BackendState, BackendEffect> begin(
      BackendState before, BackendMessage.Begin begin, Event event) {
    BackendState state =
        before.withReceived(before.received().seen(begin.authorization(), before.connections()));
    boolean cold =
        event.nowMillis() < state.coldUntilMillis() && state.busySlots() >= settings.coldSlots();
    boolean full = state.busySlots() >= settings.slots();
    if (cold || full || state.lifecycle() == Lifecycle.GONE) {
      return Step.to(
          state.withReceived(state.received().plusOne(cold ? Counter.COLD_SHED : Counter.SHED)),
          new BackendEffect.Answer<>(begin.reply(), new Admission.Shed(cold)));
    }
    return run(state, begin, event);
  }

  private Step<BackendState, BackendEffect> run(
      BackendState state, BackendMessage.Begin begin, Event event) {
    HealthOrder health = state.health().forDraw(event.draw());
    long latencyMillis =
        health.latencyMillis(begin.latencyMillis().getOrElse(settings.latencyMillis()));
    boolean frozen = health.mode() == HealthMode.FROZEN;
    boolean late = begin.timeoutMillis() > 0 && latencyMillis > begin.timeoutMillis();
    int busy = state.busySlots() + 1;
    Received received = received(state, begin, busy, late && !frozen);
    long delayMillis = late ? begin.timeoutMillis() : latencyMillis;
    Admission admission =
        frozen
            ? new Admission.Hang()
            : new Admission.Run(
                delayMillis, statusOf(health, late), received.count(Counter.TOTAL_RUNS));
    return Step.to(
        state.withBusySlots(busy).withReceived(received),
        new BackendEffect.Answer<>(begin.reply(), admission));
  }

  private static Received received(
      BackendState state, BackendMessage.Begin begin, int busySlots, boolean deadlinePassed) {
    Received received = state.received().run(begin.requestId(), busySlots);
    if (deadlinePassed) {
      received = received.plusOne(Counter.DEADLINES_PASSED);
    }
    return state.lifecycle() == Lifecycle.DRAINING
        ? received.plusOne(Counter.RUNS_WHILE_DRAINING)
        : received;
  }

  private static int statusOf(HealthOrder health, boolean late) {
    if (late) {
      return GATEWAY_TIMEOUT_STATUS;
    }
    return health.mode() == HealthMode.WRONG ? SERVER_ERROR_STATUS : OK_STATUS;
  }

  private static Step<BackendState, BackendEffect> end(
      BackendState state, BackendMessage.End end, Event event) {
    Received received =
        end.cancelled() ? state.received().plusOne(Counter.CANCELLED) : state.received();
    return leaveWhenIdle(state.withBusySlots(state.busySlots() - 1).withReceived(received), event);
  }

  private Step<BackendState, BackendEffect> control(
      BackendState state, BackendMessage.Control control, Event event) {
    BackendEffect done = new BackendEffect.Answer<>(control.reply(), control.order());
    return switch (control.order().mode()) {
      case COLD ->
          Step.to(state.withColdUntil(event.nowMillis() + settings.coldStartMillis()), done);
      case DRAINING -> {
        BackendState draining = state.withLifecycle(Lifecycle.DRAINING);
        yield Step.to(draining, Vector.of(done, tell(draining, event, Reply.ignored())));
      }
      case HEALTHY -> Step.to(serving(state).withHealth(control.order()), done);
      default -> Step.to(state.withHealth(control.order()), done);
    };
  }

  private static BackendState serving(BackendState state) {
    return state.leaving().isEmpty() ? state.withLifecycle(Lifecycle.SERVING) : state;
  }

  private static Step<BackendState, BackendEffect> leaveWhenIdle(BackendState state, Event event) {
    if (state.busySlots() > 0 || state.leaving().isEmpty()) {
      return Step.to(state);
    }
    BackendState gone = state.withLifecycle(Lifecycle.GONE);
    return Step.to(gone, tell(gone, event, state.leaving().get()));
  }

  private static Step<BackendState, BackendEffect> announce(BackendState state, Event event) {
    return state.lifecycle() == Lifecycle.GONE
        ? Step.to(state)
        : Step.to(state, tell(state, event, Reply.ignored()));
  }

  private static BackendEffect tell(
      BackendState state, Event event, Reply<Either<Failure, Lifecycle>> reply) {
    return new BackendEffect.Tell(
        state.lifecycle(), event.nowMillis() - state.startedMillis(), state.busySlots(), reply);
  }
}
