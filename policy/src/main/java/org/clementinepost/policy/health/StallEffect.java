package org.clementinepost.policy.health;

import io.vavr.collection.Vector;

/** An action that {@link StallPolicy} asks the health service to carry out. */
public sealed interface StallEffect {
  /**
   * Reports that the set of stalled tasks has changed.
   *
   * @param tasks the names of all stalled tasks; empty if the last one has recovered
   */
  record StalledTasksChanged(Vector<String> tasks) implements StallEffect {}

  /**
   * Ends the process, so that it is started again.
   *
   * @param tasks the names of the tasks that don't recover
   */
  record EndProcess(Vector<String> tasks) implements StallEffect {}
}
