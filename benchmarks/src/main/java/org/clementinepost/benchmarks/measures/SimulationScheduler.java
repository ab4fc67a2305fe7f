package org.clementinepost.benchmarks.measures;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs tasks in the order of their scheduled times in virtual time.
 *
 * <p>The clock jumps from the time of one task to that of the next. Tasks of the same time run in
 * the order in which they were scheduled, so that runs are reproducible.
 */
final class SimulationScheduler {
  private record ScheduledTask(long atNanos, long sequence, Runnable task) {}

  private final PriorityQueue<ScheduledTask> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::atNanos)
              .thenComparingLong(ScheduledTask::sequence));
  private long nowNanos;
  private long nextSequence;

  long nowNanos() {
    return nowNanos;
  }

  void schedule(long delayNanos, Runnable task) {
    queue.add(new ScheduledTask(nowNanos + Math.max(0, delayNanos), nextSequence, task));
    nextSequence++;
  }

  void scheduleAtFixedRate(long firstNanos, long periodNanos, Runnable task) {
    schedule(
        firstNanos,
        () -> {
          task.run();
          scheduleAtFixedRate(periodNanos, periodNanos, task);
        });
  }

  /** Runs all tasks that are due until the given time and sets the clock to it. */
  void runUntil(long endNanos) {
    while (!queue.isEmpty() && queue.peek().atNanos() <= endNanos) {
      ScheduledTask next = queue.poll();
      nowNanos = next.atNanos();
      next.task().run();
    }
    nowNanos = endNanos;
  }
}
