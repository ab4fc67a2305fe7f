package org.clementinepost.policy.health;

import io.vavr.Tuple;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.health.StallState.CheckedTask;

/**
 * Decides which tasks have stalled: messages wait for them, and they process none.
 *
 * <p>An idle task has no messages waiting, and a busy one processes some between two checks. A node
 * with a stalled task leaves requests unanswered, so it reports that it isn't ready; if the task
 * doesn't recover, only a restart helps.
 */
public final class StallPolicy implements Decision<StallState, StallEvent, StallEffect> {
  private final int checksUntilStalled;
  private final int checksUntilEnd;

  /**
   * Creates the policy.
   *
   * @param checksUntilStalled the number of checks without progress after which a task is stalled
   * @param checksUntilEnd the number of checks without progress after which the process ends
   */
  public StallPolicy(int checksUntilStalled, int checksUntilEnd) {
    this.checksUntilStalled = checksUntilStalled;
    this.checksUntilEnd = checksUntilEnd;
  }

  @Override
  public Step<StallState, StallEffect> decide(StallState state, StallEvent event) {
    Map<String, CheckedTask> checked =
        event.tasks().map((name, seen) -> Tuple.of(name, check(state, name, seen)));
    StallState next = new StallState(checked);
    Step<StallState, StallEffect> step = Step.to(next);
    Vector<String> stalled = next.withoutProgressFor(checksUntilStalled);
    if (!stalled.equals(state.withoutProgressFor(checksUntilStalled))) {
      step = step.with(new StallEffect.StalledTasksChanged(stalled));
    }
    Vector<String> lost = next.withoutProgressFor(checksUntilEnd);
    return lost.isEmpty() ? step : step.with(new StallEffect.EndProcess(lost));
  }

  private static CheckedTask check(StallState state, String name, TaskObservation seen) {
    boolean progressed =
        state
            .tasks()
            .get(name)
            .map(CheckedTask::observation)
            .forAll(last -> last.processedMessages() != seen.processedMessages());
    boolean waits = seen.messagesWaiting() && !progressed;
    return new CheckedTask(seen, waits ? state.checksWithoutProgress(name) + 1 : 0);
  }
}
