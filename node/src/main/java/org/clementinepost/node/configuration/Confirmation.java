package org.clementinepost.node.configuration;

import java.util.concurrent.TimeUnit;
import org.clementinepost.kernel.MonotonicClock;

/**
 * When the configuration in force was last known to be the newest.
 *
 * <p>The monotonic clock may stand still while the machine is suspended, and the time of day may be
 * set: the age is the larger of what both say.
 *
 * @param monotonicMillis the time by the monotonic clock
 * @param wallMillis the time of day
 */
public record Confirmation(long monotonicMillis, long wallMillis) {
  /** The present moment. */
  public static Confirmation now(MonotonicClock clock) {
    return new Confirmation(clock.nowMillis(), System.currentTimeMillis());
  }

  /** The time since then. */
  public long ageMillis(MonotonicClock clock) {
    Confirmation now = now(clock);
    return Math.max(now.monotonicMillis - monotonicMillis, now.wallMillis - wallMillis);
  }

  /** A time as long ago as any. */
  public static Confirmation never() {
    return new Confirmation(-TimeUnit.DAYS.toMillis(1_000), 0);
  }
}
