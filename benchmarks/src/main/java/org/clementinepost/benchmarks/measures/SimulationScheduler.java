package org.clementinepost.benchmarks.measures;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Delivers messages in the order of their times; its clock jumps from one to the next. */
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

  void runUntil(long endNanos) {
    while (!queue.isEmpty() && queue.peek().atNanos() <= endNanos) {
      ScheduledTask next = queue.poll();
      nowNanos = next.atNanos();
      next.task().run();
    }
    nowNanos = endNanos;
  }
}
