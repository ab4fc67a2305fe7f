package org.clementinepost.kernel;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A clock that never runs behind, for promises that end at a certain time.
 *
 * <p>A machine's monotonic clock may stand still while the machine is suspended, and the time of
 * day goes on. What the time of day has gained is added for good, so a promise may end too early
 * but never too late.
 */
public final class SuspendAwareClock implements MonotonicClock {
  private final MonotonicClock monotonic;
  private final LongSupplier wallMillis;
  private final long monotonicStartNanos;
  private final long wallStartMillis;
  private final AtomicLong maxWallLeadNanos = new AtomicLong();

  /** Watches a monotonic clock by the machine's time of day. */
  public SuspendAwareClock(MonotonicClock monotonic) {
    this(monotonic, System::currentTimeMillis);
  }

  SuspendAwareClock(MonotonicClock monotonic, LongSupplier wallMillis) {
    this.monotonic = monotonic;
    this.wallMillis = wallMillis;
    this.monotonicStartNanos = monotonic.nowNanos();
    this.wallStartMillis = wallMillis.getAsLong();
  }

  @Override
  public long nowNanos() {
    long nowNanos = monotonic.nowNanos();
    long wallNanos = TimeUnit.MILLISECONDS.toNanos(wallMillis.getAsLong() - wallStartMillis);
    long ahead = wallNanos - (nowNanos - monotonicStartNanos);
    return nowNanos + maxWallLeadNanos.accumulateAndGet(ahead, Math::max);
  }
}
