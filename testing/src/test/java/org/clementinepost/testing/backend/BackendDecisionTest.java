package org.clementinepost.testing.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.Step;
import org.junit.jupiter.api.Test;

/** How requests are met, by the decision alone. */
final class BackendDecisionTest {
  private static final long COLD_START_MILLIS = 1_000;
  private static final long WARM_MILLIS = COLD_START_MILLIS;

  private final BackendDecision decision =
      new BackendDecision(
          BackendSettings.builder()
              .slots(2)
              .latencyMillis(10)
              .coldStartMillis(COLD_START_MILLIS)
              .coldSlots(1)
              .build());
  private BackendState state = BackendState.started(0, COLD_START_MILLIS);

  private Step<BackendState, BackendEffect> send(
      BackendMessage message, long nowMillis, double draw) {
    Step<BackendState, BackendEffect> step =
        decision.decide(state, new BackendDecision.Event(message, nowMillis, draw));
    state = step.state();
    return step;
  }

  private Object begin(long nowMillis, long timeoutMillis, double draw) {
    BackendMessage message =
        new BackendMessage.Begin("r", false, timeoutMillis, Option.none(), Reply.ignored());
    BackendEffect effect = send(message, nowMillis, draw).effects().head();
    return ((BackendEffect.Answer<?>) effect).value();
  }

  private void order(HealthOrder order, long nowMillis) {
    send(new BackendMessage.Control(order, Reply.ignored()), nowMillis, 0);
  }

  @Test
  void shedsBeyondItsSlots() {
    begin(WARM_MILLIS, 0, 0);
    begin(WARM_MILLIS, 0, 0);

    assertThat(begin(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Shed(false));
    send(new BackendMessage.End(false), WARM_MILLIS, 0);
    assertThat(begin(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Run(10, 200, 3));
    assertThat(state.received().maxConcurrency()).isEqualTo(2);
    assertThat(state.received().runs("r")).isEqualTo(3);
  }

  @Test
  void bearsLessDuringAColdStart() {
    begin(WARM_MILLIS - 1, 0, 0);

    assertThat(begin(WARM_MILLIS - 1, 0, 0)).isEqualTo(new Admission.Shed(true));
    assertThat(begin(WARM_MILLIS, 0, 0)).isInstanceOf(Admission.Run.class);
  }

  @Test
  void fallsBackIntoAColdStartInSilence() {
    order(HealthOrder.of(HealthMode.COLD), WARM_MILLIS);
    begin(WARM_MILLIS, 0, 0);

    assertThat(begin(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Shed(true));
    assertThat(state.lifecycle()).isEqualTo(Lifecycle.SERVING);
    assertThat(state.startedMillis()).isZero();
  }

  @Test
  void failsAFractionOfItsRequests() {
    order(new HealthOrder(HealthMode.WRONG, 0, 0, 0.5), WARM_MILLIS);

    assertThat(begin(WARM_MILLIS, 0, 0.4)).isEqualTo(new Admission.Run(10, 500, 1));
    assertThat(begin(WARM_MILLIS, 0, 0.6)).isEqualTo(new Admission.Run(10, 200, 2));
  }

  @Test
  void isSlowAndGivesUpAtTheDeadline() {
    order(new HealthOrder(HealthMode.SLOW, 3, 5, 0), WARM_MILLIS);

    assertThat(begin(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Run(35, 200, 1));
    assertThat(begin(WARM_MILLIS, 20, 0)).isEqualTo(new Admission.Run(20, 504, 2));
    assertThat(state.received().count(Counter.DEADLINES_PASSED)).isEqualTo(1);
  }

  @Test
  void takesRequestsAndNeverAnswersWhenFrozen() {
    order(HealthOrder.of(HealthMode.FROZEN), WARM_MILLIS);

    assertThat(begin(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Hang());
    assertThat(state.busySlots()).isEqualTo(1);
  }

  @Test
  void leavesWhenItsLastRequestHasEnded() {
    begin(WARM_MILLIS, 0, 0);
    send(new BackendMessage.Drain(Reply.ignored()), WARM_MILLIS, 0);

    assertThat(send(new BackendMessage.Leave(Reply.ignored()), WARM_MILLIS, 0).effects()).isEmpty();
    assertThat(state.lifecycle()).isEqualTo(Lifecycle.DRAINING);
    assertThat(send(new BackendMessage.End(false), WARM_MILLIS, 0).effects().head())
        .isInstanceOf(BackendEffect.Tell.class);
    assertThat(state.lifecycle()).isEqualTo(Lifecycle.GONE);
    assertThat(begin(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Shed(false));
  }

  @Test
  void servesAgainAfterAnOrderToDrain() {
    order(HealthOrder.of(HealthMode.DRAINING), WARM_MILLIS);
    begin(WARM_MILLIS, 0, 0);
    assertThat(state.received().count(Counter.RUNS_WHILE_DRAINING)).isEqualTo(1);
    order(HealthOrder.of(HealthMode.HEALTHY), WARM_MILLIS);

    assertThat(state.lifecycle()).isEqualTo(Lifecycle.SERVING);
  }
}
