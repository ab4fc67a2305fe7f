package org.clementinepost.policy.stop;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;
import org.clementinepost.kernel.Step;
import org.junit.jupiter.api.Test;

final class StopPolicyTest {
  private static final long FAREWELL_MILLIS = 2_500;
  private static final long GRACE_MILLIS = 6_000;

  private final StopPolicy policy = new StopPolicy(FAREWELL_MILLIS, GRACE_MILLIS);
  private StopState state = StopState.serving();

  private Vector<StopEffect> decide(StopEvent event) {
    Step<StopState, StopEffect> step = policy.decide(state, event);
    state = step.state();
    return step.effects();
  }

  private Vector<StopEffect> at(long millis) {
    return decide(new StopEvent.Due(TimeUnit.MILLISECONDS.toNanos(millis)));
  }

  private Vector<StopEffect> told(StopPart part, int inHand) {
    return decide(new StopEvent.Told(part, inHand));
  }

  private void hostIsEmpty() {
    told(StopPart.STREAMS, 0);
    told(StopPart.ADMISSIONS, 0);
  }

  @Test
  void callersAreServedUntilTheFarewellHasEnded() {
    assertThat(decide(new StopEvent.Asked(0)))
        .containsExactly(new StopEffect.TakeLeave(), new StopEffect.Wake(FAREWELL_MILLIS));
    hostIsEmpty();
    assertThat(at(2_400)).containsExactly(new StopEffect.Wake(100));
    assertThat(at(2_500)).startsWith(new StopEffect.Finish());
  }

  @Test
  void aNodeWithNothingInHandGoesAtTheEndOfTheFarewell() {
    decide(new StopEvent.Asked(0));
    hostIsEmpty();
    at(FAREWELL_MILLIS);
    assertThat(told(StopPart.CALLERS, 0)).hasSize(1).allMatch(effect -> isGo(effect, true));
  }

  @Test
  void aRequestInHandIsWaitedForUntilTheLastSixthOfTheGrace() {
    decide(new StopEvent.Asked(0));
    hostIsEmpty();
    at(FAREWELL_MILLIS);
    assertThat(told(StopPart.CALLERS, 1)).isEmpty();
    assertThat(at(GRACE_MILLIS * 5 / 6)).noneMatch(StopEffect.Go.class::isInstance);
    assertThat(told(StopPart.CALLERS, 0)).hasSize(1).allMatch(effect -> isGo(effect, true));
  }

  @Test
  void whatIsInHandShortlyBeforeThePlatformsKillIsCutAndTold() {
    decide(new StopEvent.Asked(0));
    hostIsEmpty();
    at(FAREWELL_MILLIS);
    told(StopPart.CALLERS, 2);
    assertThat(at(GRACE_MILLIS - 500))
        .containsExactly(
            new StopEffect.Go(
                false,
                HashMap.of(StopPart.CALLERS, 2, StopPart.STREAMS, 0, StopPart.ADMISSIONS, 0)));
    assertThat(told(StopPart.CALLERS, 0)).isEmpty();
  }

  @Test
  void aPartThatHasNotToldOfItselfIsNotTakenForEmpty() {
    decide(new StopEvent.Asked(0));
    told(StopPart.ADMISSIONS, 0);
    at(FAREWELL_MILLIS);
    assertThat(told(StopPart.CALLERS, 0)).isEmpty();
    assertThat(told(StopPart.STREAMS, 0)).hasSize(1).allMatch(effect -> isGo(effect, true));
  }

  @Test
  void aShortGraceLeavesHalfOfItToRequestsOfTheFarewell() {
    StopPolicy hurried = new StopPolicy(FAREWELL_MILLIS, 2_000);
    assertThat(hurried.decide(state, new StopEvent.Asked(0)).effects())
        .contains(new StopEffect.Wake(1_000));
  }

  @Test
  void askingAgainDoesNotBeginAgain() {
    decide(new StopEvent.Asked(0));
    assertThat(decide(new StopEvent.Asked(TimeUnit.SECONDS.toNanos(1)))).isEmpty();
    assertThat(state.askedNanos()).isZero();
  }

  private static boolean isGo(StopEffect effect, boolean whole) {
    return effect instanceof StopEffect.Go go && go.whole() == whole;
  }
}
