package org.clementinepost.policy.stop;

import java.util.concurrent.TimeUnit;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.stop.StopState.Phase;

/**
 * Decides when a stopping node stops accepting requests, and when its process may exit.
 *
 * <p>The node accepts requests during the shutdown delay, while callers and other nodes learn of
 * the stop. After that it exits as soon as nothing is in flight. Requests still in flight shortly
 * before the platform would kill the process are aborted.
 */
public final class StopPolicy implements Decision<StopState, StopEvent, StopEffect> {
  /** The grace period divided by this is reserved for the exit of the process. */
  private static final long EXIT_RESERVE_DIVISOR = 12;

  /**
   * The shutdown delay is at most the grace period divided by this; the rest is for requests
   * accepted during the delay.
   */
  private static final long MAX_SHUTDOWN_DELAY_DIVISOR = 2;

  private final long shutdownDelayMillis;
  private final long completionDeadlineMillis;

  /**
   * Creates the policy.
   *
   * @param shutdownDelayMillis how long requests are accepted while callers learn of the stop
   * @param graceMillis how long the platform waits before it kills the process
   */
  public StopPolicy(long shutdownDelayMillis, long graceMillis) {
    this.shutdownDelayMillis =
        Math.min(shutdownDelayMillis, graceMillis / MAX_SHUTDOWN_DELAY_DIVISOR);
    this.completionDeadlineMillis = graceMillis - graceMillis / EXIT_RESERVE_DIVISOR;
  }

  @Override
  public Step<StopState, StopEffect> decide(StopState state, StopEvent event) {
    if (event instanceof StopEvent.StopRequested request) {
      return onStopRequested(state, request.nowNanos());
    }
    if (event instanceof StopEvent.InFlightReported report) {
      return completeIfNothingInFlight(state.withInFlight(report.part(), report.inFlight()));
    }
    return onTimer(state, ((StopEvent.TimerFired) event).nowNanos());
  }

  private Step<StopState, StopEffect> onStopRequested(StopState state, long nowNanos) {
    if (state.phase() != Phase.SERVING) {
      return Step.to(state);
    }
    return Step.<StopState, StopEffect>to(
            state.withStopRequested(nowNanos), new StopEffect.AnnounceStop())
        .with(new StopEffect.ScheduleTimer(shutdownDelayMillis));
  }

  private Step<StopState, StopEffect> onTimer(StopState state, long nowNanos) {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - state.stopRequestedNanos());
    if (state.phase() == Phase.SHUTDOWN_DELAY) {
      if (elapsedMillis < shutdownDelayMillis) {
        return Step.to(state, new StopEffect.ScheduleTimer(shutdownDelayMillis - elapsedMillis));
      }
      return Step.<StopState, StopEffect>to(
              state.withPhase(Phase.COMPLETING_REQUESTS), new StopEffect.StopAccepting())
          .with(
              new StopEffect.ScheduleTimer(Math.max(0, completionDeadlineMillis - elapsedMillis)));
    }
    if (state.phase() != Phase.COMPLETING_REQUESTS) {
      return Step.to(state);
    }
    return elapsedMillis < completionDeadlineMillis
        ? Step.to(state, new StopEffect.ScheduleTimer(completionDeadlineMillis - elapsedMillis))
        : complete(state);
  }

  private static Step<StopState, StopEffect> completeIfNothingInFlight(StopState state) {
    return state.phase() == Phase.COMPLETING_REQUESTS && state.hasNothingInFlight()
        ? complete(state)
        : Step.to(state);
  }

  private static Step<StopState, StopEffect> complete(StopState state) {
    return Step.to(
        state.withPhase(Phase.STOPPED),
        new StopEffect.CompleteStop(state.hasNothingInFlight(), state.inFlight()));
  }
}
