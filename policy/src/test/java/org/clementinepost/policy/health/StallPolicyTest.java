package org.clementinepost.policy.health;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import org.clementinepost.policy.health.StallEffect.EndProcess;
import org.clementinepost.policy.health.StallEffect.StalledTasksChanged;
import org.junit.jupiter.api.Test;

/** Checks that a task that processes no more messages is told from an idle and from a busy one. */
final class StallPolicyTest {
  private static final int CHECKS_UNTIL_STALLED = 3;
  private static final int CHECKS_UNTIL_END = 5;

  private final StallPolicy policy = new StallPolicy(CHECKS_UNTIL_STALLED, CHECKS_UNTIL_END);
  private StallState state = StallState.initial();

  private Vector<StallEffect> check(long processedMessages, boolean messagesWaiting) {
    TaskObservation seen = new TaskObservation(processedMessages, messagesWaiting);
    var step = policy.decide(state, new StallEvent(HashMap.of("routing", seen)));
    state = step.state();
    return step.effects();
  }

  private Vector<StallEffect> checkStuckTask(int times) {
    Vector<StallEffect> effects = Vector.empty();
    for (int i = 0; i < times; i++) {
      effects = effects.appendAll(check(7, true));
    }
    return effects;
  }

  @Test
  void idleTaskIsNotStalled() {
    for (int i = 0; i < 2 * CHECKS_UNTIL_END; i++) {
      assertThat(check(7, false)).isEmpty();
    }
  }

  @Test
  void busyTaskIsNotStalled() {
    for (int i = 0; i < 2 * CHECKS_UNTIL_END; i++) {
      assertThat(check(i, true)).isEmpty();
    }
  }

  @Test
  void taskWithWaitingMessagesAndNoProgressIsReportedOnce() {
    assertThat(checkStuckTask(CHECKS_UNTIL_STALLED)).isEmpty();
    assertThat(checkStuckTask(2)).containsExactly(new StalledTasksChanged(Vector.of("routing")));
  }

  @Test
  void recoveryIsReported() {
    checkStuckTask(CHECKS_UNTIL_STALLED + 1);
    assertThat(check(8, true)).containsExactly(new StalledTasksChanged(Vector.empty()));
    assertThat(checkStuckTask(CHECKS_UNTIL_STALLED)).isEmpty();
  }

  @Test
  void processEndsIfTaskDoesNotRecover() {
    checkStuckTask(CHECKS_UNTIL_END);
    assertThat(check(7, true)).containsExactly(new EndProcess(Vector.of("routing")));
  }
}
