package org.clementinepost.kernel.logging;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Lines that wait to be written, so many at most.
 *
 * <p>Above half its size, one routine line in {@link #SAMPLED_ONE_IN} is kept; when it is full none
 * is. What is left out is counted.
 */
final class LogBuffer {
  private static final int SAMPLED_ONE_IN = 10;

  private final int capacity;
  private final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
  private final AtomicInteger size = new AtomicInteger();
  private final AtomicLong routineSeen = new AtomicLong();
  private final AtomicLong sampledOut = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();

  LogBuffer(int capacity) {
    this.capacity = capacity;
  }

  /** Takes a line, or counts it as left out. */
  void offer(String line, boolean routine) {
    if (routine && size.get() >= capacity / 2 && !isSampled()) {
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

  private boolean isSampled() {
    return routineSeen.incrementAndGet() % SAMPLED_ONE_IN == 0;
  }

  boolean isEmpty() {
    return lines.isEmpty();
  }

  /** Takes out what waits, a full buffer at most, however fast it is filled again. */
  String drain() {
    StringBuilder all = new StringBuilder();
    for (int taken = 0; taken < capacity; taken++) {
      String line = lines.poll();
      if (line == null) {
        break;
      }
      size.decrementAndGet();
      all.append(line);
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
