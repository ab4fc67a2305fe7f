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
      return end(state, end);
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
      return drain(state, drain, event);
    }
    if (message instanceof BackendMessage.Leave leave) {
      BackendState gone = state.withLifecycle(Lifecycle.GONE);
      return Step.to(gone, tell(gone, event, leave.reply()));
    }
    return announce(state, event);
  }

  private Step<BackendState, BackendEffect> begin(
      BackendState before, BackendMessage.Begin begin, Event event) {
    BackendState state =
        before.withReceived(before.received().seen(begin.authorization(), before.connections()));
    boolean cold =
        event.nowMillis() < state.coldUntilMillis() && state.busySlots() >= settings.coldSlots();
    if (cold || state.busySlots() >= settings.slots()) {
      return Step.to(
          state.withReceived(state.received().refused(cold)),
          new BackendEffect.Answer<>(begin.reply(), new Admission.Shed(cold)));
    }
    return run(state, begin, event);
  }

  private Step<BackendState, BackendEffect> run(
      BackendState state, BackendMessage.Begin begin, Event event) {
    boolean met = state.health().meets(event.draw());
    long usualMillis = begin.latencyMillis().getOrElse(settings.latencyMillis());
    long latencyMillis =
        met && state.health().mode() == HealthMode.SLOW
            ? state.health().latencyMillis(usualMillis)
            : usualMillis;
    boolean frozen = met && state.health().mode() == HealthMode.FROZEN;
    boolean late = begin.timeoutMillis() > 0 && latencyMillis > begin.timeoutMillis();
    int busy = state.busySlots() + 1;
    Received received =
        state
            .received()
            .run(begin.requestId(), busy, state.lifecycle() == Lifecycle.DRAINING, late && !frozen);
    boolean wrong = met && state.health().mode() == HealthMode.WRONG;
    int status = wrong ? SERVER_ERROR_STATUS : OK_STATUS;
    Admission admission =
        frozen
            ? new Admission.Hang()
            : new Admission.Run(
                late ? begin.timeoutMillis() : latencyMillis,
                late ? GATEWAY_TIMEOUT_STATUS : status,
                received.totalRuns());
    return Step.to(
        state.withBusySlots(busy).withReceived(received),
        new BackendEffect.Answer<>(begin.reply(), admission));
  }

  private static Step<BackendState, BackendEffect> end(BackendState state, BackendMessage.End end) {
    Received received = end.cancelled() ? state.received().withCancelled() : state.received();
    return drainedWhenIdle(state.withBusySlots(state.busySlots() - 1).withReceived(received));
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
      default -> Step.to(state.withHealth(control.order()), done);
    };
  }

  private static Step<BackendState, BackendEffect> drain(
      BackendState state, BackendMessage.Drain drain, Event event) {
    BackendState draining =
        state.withLifecycle(Lifecycle.DRAINING).withDrained(state.drained().append(drain.reply()));
    Step<BackendState, BackendEffect> step = drainedWhenIdle(draining);
    return Step.to(step.state(), step.effects().prepend(tell(draining, event, Reply.ignored())));
  }

  private static Step<BackendState, BackendEffect> drainedWhenIdle(BackendState state) {
    if (state.busySlots() > 0 || state.drained().isEmpty()) {
      return Step.to(state);
    }
    Vector<BackendEffect> answers =
        state.drained().map(reply -> new BackendEffect.Answer<>(reply, state.lifecycle()));
    return Step.to(state.withDrained(Vector.empty()), answers);
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
