package org.clementinepost.kernel;

import java.util.concurrent.TimeUnit;
import reactor.core.scheduler.Scheduler;

/** A clock that never goes back and keeps running while the process is paused. */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns the nanoseconds since an arbitrary instant. */
  long nowNanos();

  /** Returns the milliseconds since the same instant. */
  default long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos());
  }

  /** Returns the monotonic clock of the JVM. */
  static MonotonicClock system() {
    return System::nanoTime;
  }

  /** Returns a scheduler's clock, which is virtual if the scheduler uses virtual time. */
  static MonotonicClock of(Scheduler scheduler) {
    return () -> scheduler.now(TimeUnit.NANOSECONDS);
  }
}
