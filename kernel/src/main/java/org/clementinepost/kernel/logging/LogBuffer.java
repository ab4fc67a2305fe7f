package org.clementinepost.kernel.logging;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.logging.LogRecord;

/**
 * A bounded buffer of log records that samples routine records when it fills up.
 *
 * <p>When the buffer is at least half full, only one in {@link #SAMPLED_ONE_IN} routine records is
 * kept; when it is full, all new records are dropped. Records left out are counted.
 */
final class LogBuffer {
  private static final int SAMPLED_ONE_IN = 10;

  private final int capacity;
  private final Predicate<LogRecord> routine;
  private final ConcurrentLinkedQueue<LogRecord> records = new ConcurrentLinkedQueue<>();
  private final AtomicInteger size = new AtomicInteger();
  private final AtomicLong routineOffered = new AtomicLong();
  private final AtomicLong sampledOut = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();

  LogBuffer(int capacity, Predicate<LogRecord> routine) {
    this.capacity = capacity;
    this.routine = routine;
  }

  /** Adds a record, or counts it as left out. */
  void offer(LogRecord record) {
    if (size.get() >= capacity / 2 && routine.test(record) && !isInSample()) {
      sampledOut.incrementAndGet();
      return;
    }
    if (size.incrementAndGet() > capacity) {
      size.decrementAndGet();
      dropped.incrementAndGet();
      return;
    }
    records.add(record);
  }

  private boolean isInSample() {
    return routineOffered.incrementAndGet() % SAMPLED_ONE_IN == 0;
  }

  boolean isEmpty() {
    return records.isEmpty();
  }

  /**
   * Removes the buffered records and returns their lines.
   *
   * <p>A call removes at most as many records as the buffer holds, so that it returns even if new
   * records arrive as fast as it removes them.
   */
  String drain() {
    StringBuilder text = new StringBuilder();
    for (int removed = 0; removed < capacity; removed++) {
      LogRecord record = records.poll();
      if (record == null) {
        break;
      }
      size.decrementAndGet();
      text.append(LogLineFormat.format(record));
    }
    return text.toString();
  }

  /** Returns the number of records dropped because the buffer was full since the last call. */
  long takeDropped() {
    return dropped.getAndSet(0);
  }

  /** Returns the number of routine records left out by sampling since the last call. */
  long takeSampledOut() {
    return sampledOut.getAndSet(0);
  }
}
