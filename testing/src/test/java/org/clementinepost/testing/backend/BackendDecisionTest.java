package org.clementinepost.testing.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.Step;
import org.junit.jupiter.api.Test;

/** Tests {@link BackendDecision} without tasks or sockets. */
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
  private BackendState state = BackendState.initial(0, COLD_START_MILLIS);

  private Step<BackendState, BackendEffect> send(
      BackendMessage message, long nowMillis, double randomFraction) {
    Step<BackendState, BackendEffect> step =
        decision.decide(state, new BackendDecision.Event(message, nowMillis, randomFraction));
    state = step.state();
    return step;
  }

  private Object startRequest(long nowMillis, long timeoutMillis, double randomFraction) {
    BackendMessage message =
        new BackendMessage.RequestStarted(
            "r", false, timeoutMillis, Option.none(), Reply.ignored());
    BackendEffect effect = send(message, nowMillis, randomFraction).effects().head();
    return ((BackendEffect.SendReply<?>) effect).value();
  }

  private void setHealth(HealthControl health, long nowMillis) {
    send(new BackendMessage.SetHealth(health, Reply.ignored()), nowMillis, 0);
  }

  @Test
  void shedsRequestsBeyondSlots() {
    startRequest(WARM_MILLIS, 0, 0);
    startRequest(WARM_MILLIS, 0, 0);

    assertThat(startRequest(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Shed(false));
    send(new BackendMessage.RequestEnded(false), WARM_MILLIS, 0);
    assertThat(startRequest(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Run(10, 200, 3));
    assertThat(state.statistics().maxConcurrency()).isEqualTo(2);
    assertThat(state.statistics().runs("r")).isEqualTo(3);
  }

  @Test
  void usesFewerSlotsDuringColdStart() {
    startRequest(WARM_MILLIS - 1, 0, 0);

    assertThat(startRequest(WARM_MILLIS - 1, 0, 0)).isEqualTo(new Admission.Shed(true));
    assertThat(startRequest(WARM_MILLIS, 0, 0)).isInstanceOf(Admission.Run.class);
  }

  @Test
  void entersColdStartWithoutChangingLifecycle() {
    setHealth(HealthControl.of(HealthMode.COLD), WARM_MILLIS);
    startRequest(WARM_MILLIS, 0, 0);

    assertThat(startRequest(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Shed(true));
    assertThat(state.lifecycle()).isEqualTo(Lifecycle.SERVING);
    assertThat(state.startedMillis()).isZero();
  }

  @Test
  void failsFractionOfRequests() {
    setHealth(new HealthControl(HealthMode.WRONG, 0, 0, 0.5), WARM_MILLIS);

    assertThat(startRequest(WARM_MILLIS, 0, 0.4)).isEqualTo(new Admission.Run(10, 500, 1));
    assertThat(startRequest(WARM_MILLIS, 0, 0.6)).isEqualTo(new Admission.Run(10, 200, 2));
  }

  @Test
  void slowsDownAndStopsAtDeadline() {
    setHealth(new HealthControl(HealthMode.SLOW, 3, 5, 0), WARM_MILLIS);

    assertThat(startRequest(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Run(35, 200, 1));
    assertThat(startRequest(WARM_MILLIS, 20, 0)).isEqualTo(new Admission.Run(20, 504, 2));
    assertThat(state.statistics().count(Counter.DEADLINES_PASSED)).isEqualTo(1);
  }

  @Test
  void acceptsRequestsWithoutAnswerWhenFrozen() {
    setHealth(HealthControl.of(HealthMode.FROZEN), WARM_MILLIS);

    assertThat(startRequest(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Hang());
    assertThat(state.busySlots()).isEqualTo(1);
  }

  @Test
  void stopsWhenLastRequestHasEnded() {
    startRequest(WARM_MILLIS, 0, 0);
    send(new BackendMessage.Drain(Reply.ignored()), WARM_MILLIS, 0);

    assertThat(send(new BackendMessage.StopWhenIdle(Reply.ignored()), WARM_MILLIS, 0).effects())
        .isEmpty();
    assertThat(state.lifecycle()).isEqualTo(Lifecycle.DRAINING);
    assertThat(send(new BackendMessage.RequestEnded(false), WARM_MILLIS, 0).effects().head())
        .isInstanceOf(BackendEffect.Announce.class);
    assertThat(state.lifecycle()).isEqualTo(Lifecycle.GONE);
    assertThat(startRequest(WARM_MILLIS, 0, 0)).isEqualTo(new Admission.Shed(false));
  }

  @Test
  void servesAgainAfterDraining() {
    setHealth(HealthControl.of(HealthMode.DRAINING), WARM_MILLIS);
    startRequest(WARM_MILLIS, 0, 0);
    assertThat(state.statistics().count(Counter.RUNS_WHILE_DRAINING)).isEqualTo(1);
    setHealth(HealthControl.of(HealthMode.HEALTHY), WARM_MILLIS);

    assertThat(state.lifecycle()).isEqualTo(Lifecycle.SERVING);
  }
}
