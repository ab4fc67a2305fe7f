package org.clementinepost.kernel;

import java.util.concurrent.TimeUnit;
import reactor.core.scheduler.Scheduler;

/** A clock that never goes back, and that goes on while the process is paused. */
@FunctionalInterface
public interface MonotonicClock {
  /** Nanoseconds since an arbitrary instant. */
  long nowNanos();

  /** Milliseconds since the same instant. */
  default long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos());
  }

  /** The machine's clock. */
  static MonotonicClock system() {
    return System::nanoTime;
  }

  /** The clock of a scheduler; virtual when the scheduler's time is. */
  static MonotonicClock of(Scheduler scheduler) {
    return () -> scheduler.now(TimeUnit.NANOSECONDS);
  }
}
