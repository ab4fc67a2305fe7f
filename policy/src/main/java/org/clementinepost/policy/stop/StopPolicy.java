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
  private static final long EXIT_PART_OF_GRACE = 12;

  /** The part of the grace that the farewell leaves at least to requests taken in it. */
  private static final long FINISH_PART_OF_GRACE = 2;

  private final long farewellMillis;
  private final long lastMomentMillis;

  /**
   * Creates the policy.
   *
   * @param farewellMillis how long callers are served while they learn that the node goes
   * @param graceMillis what the platform waits before it ends the process
   */
  public StopPolicy(long farewellMillis, long graceMillis) {
    this.farewellMillis = Math.min(farewellMillis, graceMillis / FINISH_PART_OF_GRACE);
    this.lastMomentMillis = graceMillis - graceMillis / EXIT_PART_OF_GRACE;
  }

  @Override
  public Step<StopState, StopEffect> decide(StopState state, StopEvent event) {
    if (event instanceof StopEvent.Asked asked) {
      return asked(state, asked.nowNanos());
    }
    if (event instanceof StopEvent.Told told) {
      return settled(state.told(told.part(), told.inHand()));
    }
    return due(state, ((StopEvent.Due) event).nowNanos());
  }

  private Step<StopState, StopEffect> asked(StopState state, long nowNanos) {
    if (state.phase() != Phase.SERVING) {
      return Step.to(state);
    }
    return Step.<StopState, StopEffect>to(state.leavingSince(nowNanos), new StopEffect.TakeLeave())
        .with(new StopEffect.Wake(farewellMillis));
  }

  private Step<StopState, StopEffect> due(StopState state, long nowNanos) {
    long sinceMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - state.askedNanos());
    if (state.phase() == Phase.LEAVING) {
      if (sinceMillis < farewellMillis) {
        return Step.to(state, new StopEffect.Wake(farewellMillis - sinceMillis));
      }
      return Step.<StopState, StopEffect>to(state.in(Phase.FINISHING), new StopEffect.Finish())
          .with(new StopEffect.Wake(Math.max(0, lastMomentMillis - sinceMillis)));
    }
    if (state.phase() != Phase.FINISHING) {
      return Step.to(state);
    }
    return sinceMillis < lastMomentMillis
        ? Step.to(state, new StopEffect.Wake(lastMomentMillis - sinceMillis))
        : gone(state);
  }

  private static Step<StopState, StopEffect> settled(StopState state) {
    return state.phase() == Phase.FINISHING && state.isEmpty() ? gone(state) : Step.to(state);
  }

  private static Step<StopState, StopEffect> gone(StopState state) {
    return Step.to(state.in(Phase.GONE), new StopEffect.Go(state.isEmpty(), state.inHand()));
  }
}
