package org.clementinepost.policy.stop;

import java.util.concurrent.TimeUnit;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.stop.StopState.Phase;

/**
 * Decides when a node that was told to stop takes no more requests, and when it goes.
 *
 * <p>It goes as soon as no part has work of others in hand, and not before the farewell has ended.
 * What is still in hand shortly before the platform would end the process is cut.
 */
public final class StopPolicy implements Decision<StopState, StopEvent, StopEffect> {
  /** The part of the platform's grace that is kept for ending the process: one in so many. */
  private static final long EXIT_RESERVE_DIVISOR = 12;

  /** The part of the grace that the farewell leaves at least to requests taken in it. */
  private static final long MAX_SHUTDOWN_DELAY_DIVISOR = 2;

  private final long shutdownDelayMillis;
  private final long completionDeadlineMillis;

  /**
   * Creates the policy.
   *
   * @param farewellMillis how long callers are served while they learn that the node goes
   * @param graceMillis what the platform waits before it ends the process
   */
  public StopPolicy(long farewellMillis, long graceMillis) {
    this.shutdownDelayMillis = Math.min(farewellMillis, graceMillis / MAX_SHUTDOWN_DELAY_DIVISOR);
    this.completionDeadlineMillis = graceMillis - graceMillis / EXIT_RESERVE_DIVISOR;
  }

  @Override
  public Step<StopState, StopEffect> decide(StopState state, StopEvent event) {
    if (event instanceof StopEvent.StopRequested asked) {
      return onStopRequested(state, asked.nowNanos());
    }
    if (event instanceof StopEvent.InFlightReported told) {
      return completeIfNothingInFlight(state.withInFlight(told.part(), told.inFlight()));
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
    long sinceMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - state.stopRequestedNanos());
    if (state.phase() == Phase.SHUTDOWN_DELAY) {
      if (sinceMillis < shutdownDelayMillis) {
        return Step.to(state, new StopEffect.ScheduleTimer(shutdownDelayMillis - sinceMillis));
      }
      return Step.<StopState, StopEffect>to(
              state.withPhase(Phase.COMPLETING_REQUESTS), new StopEffect.StopAccepting())
          .with(new StopEffect.ScheduleTimer(Math.max(0, completionDeadlineMillis - sinceMillis)));
    }
    if (state.phase() != Phase.COMPLETING_REQUESTS) {
      return Step.to(state);
    }
    return sinceMillis < completionDeadlineMillis
        ? Step.to(state, new StopEffect.ScheduleTimer(completionDeadlineMillis - sinceMillis))
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
