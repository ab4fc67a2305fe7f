package org.clementinepost.benchmarks.measures;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Delivers messages in the order of their times; its clock jumps from one to the next. */
final class VirtualLoop {
  private record Timed(long atNanos, long sequence, Runnable message) {}

  private final PriorityQueue<Timed> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Timed::atNanos).thenComparingLong(Timed::sequence));
  private long nowNanos;
  private long sequence;

  long nowNanos() {
    return nowNanos;
  }

  void after(long delayNanos, Runnable message) {
    queue.add(new Timed(nowNanos + Math.max(0, delayNanos), sequence, message));
    sequence++;
  }

  void every(long firstNanos, long periodNanos, Runnable message) {
    after(
        firstNanos,
        () -> {
          message.run();
          every(periodNanos, periodNanos, message);
        });
  }

  void runUntil(long endNanos) {
    while (!queue.isEmpty() && queue.peek().atNanos() <= endNanos) {
      Timed next = queue.poll();
      nowNanos = next.atNanos();
      next.message().run();
    }
    nowNanos = endNanos;
  }
}
