package org.clementinepost.policy.health;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;

/**
 * The tasks at the last check.
 *
 * @param tasks the tasks by name
 */
public record StallState(Map<String, CheckedTask> tasks) {
  /**
   * A task at the last check.
   *
   * @param observation what was seen of it
   * @param checksWithoutProgress the number of consecutive checks at which messages were waiting
   *     and none had been processed since the check before
   */
  record CheckedTask(TaskObservation observation, int checksWithoutProgress) {}

  /** Returns the state before the first check. */
  public static StallState initial() {
    return new StallState(HashMap.empty());
  }

  int checksWithoutProgress(String task) {
    return tasks.get(task).map(CheckedTask::checksWithoutProgress).getOrElse(0);
  }

  /** Returns the names of the tasks with at least this many checks without progress, sorted. */
  Vector<String> withoutProgressFor(int checks) {
    return tasks
        .filterValues(task -> task.checksWithoutProgress() >= checks)
        .keySet()
        .toVector()
        .sorted();
  }
}
