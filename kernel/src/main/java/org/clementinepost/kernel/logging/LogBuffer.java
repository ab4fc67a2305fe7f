package org.clementinepost.kernel.logging;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.logging.LogRecord;

/**
 * Lines that wait to be written, so many at most.
 *
 * <p>Above half its size, one routine line in {@link #SAMPLED_ONE_IN} is kept; when it is full none
 * is. What is left out is counted.
 */
final class LogBuffer {
  private static final int SAMPLED_ONE_IN = 10;

  private final int capacity;
  private final Predicate<LogRecord> routine;
  private final ConcurrentLinkedQueue<LogRecord> lines = new ConcurrentLinkedQueue<>();
  private final AtomicInteger size = new AtomicInteger();
  private final AtomicLong routineOffered = new AtomicLong();
  private final AtomicLong sampledOut = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();

  LogBuffer(int capacity, Predicate<LogRecord> routine) {
    this.capacity = capacity;
    this.routine = routine;
  }

  /** Takes a line, or counts it as left out. */
  void offer(LogRecord line) {
    if (size.get() >= capacity / 2 && routine.test(line) && !isInSample()) {
      sampledOut.incrementAndGet();
      return;
    }
    if (size.incrementAndGet() > capacity) {
      size.decrementAndGet();
      dropped.incrementAndGet();
      return;
    }
    lines.add(line);
  }

  private boolean isInSample() {
    return routineOffered.incrementAndGet() % SAMPLED_ONE_IN == 0;
  }

  boolean isEmpty() {
    return lines.isEmpty();
  }

  /** Takes out what waits, a full buffer at most, however fast it is filled again. */
  String drain() {
    StringBuilder all = new StringBuilder();
    for (int taken = 0; taken < capacity; taken++) {
      LogRecord line = lines.poll();
      if (line == null) {
        break;
      }
      size.decrementAndGet();
      all.append(LogLineFormat.format(line));
    }
    return all.toString();
  }

  /** The lines that found no room since this was last asked. */
  long takeDropped() {
    return dropped.getAndSet(0);
  }

  /** The routine lines that were left out to make room since this was last asked. */
  long takeSampledOut() {
    return sampledOut.getAndSet(0);
  }
}
