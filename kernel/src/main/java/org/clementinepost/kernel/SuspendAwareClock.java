package org.clementinepost.kernel;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that also counts the time during which the VM is suspended, for leases and
 * other grants that expire.
 *
 * <p>The system's monotonic clock may stop while the VM is suspended, but the wall clock keeps
 * running. The largest lead of the wall clock over the monotonic clock is added permanently, so a
 * grant may expire too early but never too late.
 */
public final class SuspendAwareClock implements MonotonicClock {
  private final MonotonicClock monotonic;
  private final LongSupplier wallMillis;
  private final long monotonicStartNanos;
  private final long wallStartMillis;
  private final AtomicLong maxWallLeadNanos = new AtomicLong();

  /** Corrects a monotonic clock with the system's wall clock. */
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
    long wallLeadNanos = wallNanos - (nowNanos - monotonicStartNanos);
    return nowNanos + maxWallLeadNanos.accumulateAndGet(wallLeadNanos, Math::max);
  }
}
