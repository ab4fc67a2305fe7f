package org.clementinepost.policy.stop;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;
import org.clementinepost.kernel.Step;
import org.junit.jupiter.api.Test;

final class StopPolicyTest {
  private static final long SHUTDOWN_DELAY_MILLIS = 2_500;
  private static final long GRACE_MILLIS = 6_000;

  private final StopPolicy policy = new StopPolicy(SHUTDOWN_DELAY_MILLIS, GRACE_MILLIS);
  private StopState state = StopState.serving();

  private Vector<StopEffect> decide(StopEvent event) {
    Step<StopState, StopEffect> step = policy.decide(state, event);
    state = step.state();
    return step.effects();
  }

  private Vector<StopEffect> fireTimerAt(long millis) {
    return decide(new StopEvent.TimerFired(TimeUnit.MILLISECONDS.toNanos(millis)));
  }

  private Vector<StopEffect> reportInFlight(StopPart part, int inFlight) {
    return decide(new StopEvent.InFlightReported(part, inFlight));
  }

  private void reportNothingInFlightOnHost() {
    reportInFlight(StopPart.STREAMS, 0);
    reportInFlight(StopPart.ADMISSIONS, 0);
  }

  @Test
  void acceptsRequestsUntilShutdownDelayHasPassed() {
    assertThat(decide(new StopEvent.StopRequested(0)))
        .containsExactly(
            new StopEffect.AnnounceStop(), new StopEffect.ScheduleTimer(SHUTDOWN_DELAY_MILLIS));
    reportNothingInFlightOnHost();
    assertThat(fireTimerAt(2_400)).containsExactly(new StopEffect.ScheduleTimer(100));
    assertThat(fireTimerAt(2_500)).startsWith(new StopEffect.StopAccepting());
  }

  @Test
  void completesAfterShutdownDelayWhenNothingIsInFlight() {
    decide(new StopEvent.StopRequested(0));
    reportNothingInFlightOnHost();
    fireTimerAt(SHUTDOWN_DELAY_MILLIS);
    assertThat(reportInFlight(StopPart.CALLERS, 0))
        .hasSize(1)
        .allMatch(effect -> isCompleteStop(effect, true));
  }

  @Test
  void stillWaitsForInFlightRequestAfterFiveSixthsOfGracePeriod() {
    decide(new StopEvent.StopRequested(0));
    reportNothingInFlightOnHost();
    fireTimerAt(SHUTDOWN_DELAY_MILLIS);
    assertThat(reportInFlight(StopPart.CALLERS, 1)).isEmpty();
    assertThat(fireTimerAt(GRACE_MILLIS * 5 / 6))
        .noneMatch(StopEffect.CompleteStop.class::isInstance);
    assertThat(reportInFlight(StopPart.CALLERS, 0))
        .hasSize(1)
        .allMatch(effect -> isCompleteStop(effect, true));
  }

  @Test
  void completesAndReportsAbortedRequestsShortlyBeforePlatformKillsProcess() {
    decide(new StopEvent.StopRequested(0));
    reportNothingInFlightOnHost();
    fireTimerAt(SHUTDOWN_DELAY_MILLIS);
    reportInFlight(StopPart.CALLERS, 2);
    assertThat(fireTimerAt(GRACE_MILLIS - 500))
        .containsExactly(
            new StopEffect.CompleteStop(
                false,
                HashMap.of(StopPart.CALLERS, 2, StopPart.STREAMS, 0, StopPart.ADMISSIONS, 0)));
    assertThat(reportInFlight(StopPart.CALLERS, 0)).isEmpty();
  }

  @Test
  void waitsForReportOfEveryPart() {
    decide(new StopEvent.StopRequested(0));
    reportInFlight(StopPart.ADMISSIONS, 0);
    fireTimerAt(SHUTDOWN_DELAY_MILLIS);
    assertThat(reportInFlight(StopPart.CALLERS, 0)).isEmpty();
    assertThat(reportInFlight(StopPart.STREAMS, 0))
        .hasSize(1)
        .allMatch(effect -> isCompleteStop(effect, true));
  }

  @Test
  void limitsShutdownDelayToHalfOfGracePeriod() {
    StopPolicy shortGracePolicy = new StopPolicy(SHUTDOWN_DELAY_MILLIS, 2_000);
    assertThat(shortGracePolicy.decide(state, new StopEvent.StopRequested(0)).effects())
        .contains(new StopEffect.ScheduleTimer(1_000));
  }

  @Test
  void secondStopRequestDoesNotRestartStop() {
    decide(new StopEvent.StopRequested(0));
    assertThat(decide(new StopEvent.StopRequested(TimeUnit.SECONDS.toNanos(1)))).isEmpty();
    assertThat(state.stopRequestedNanos()).isZero();
  }

  private static boolean isCompleteStop(StopEffect effect, boolean clean) {
    return effect instanceof StopEffect.CompleteStop complete && complete.clean() == clean;
  }
}
