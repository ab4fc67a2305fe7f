package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;

/**
 * A backend server that has announced itself to this host.
 *
 * @param announcement its last announcement
 * @param announcedNanos when that came
 * @param busySlots the admissions that have not ended
 * @param coldUntilNanos when it will have warmed up
 * @param recentNanos the admissions of the last second, oldest first
 * @param lastAdmittedNanos when it was last sent a request, or became known
 * @param health whether it answers as it should
 */
public record HostedServer(
    Announcement announcement,
    long announcedNanos,
    int busySlots,
    long coldUntilNanos,
    Vector<Long> recentNanos,
    long lastAdmittedNanos,
    ServerHealth health) {
  static final long RATE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** A backend server that announces itself for the first time. */
  static HostedServer of(Announcement announcement, long nowNanos) {
    return new HostedServer(
            announcement, nowNanos, 0, 0, Vector.empty(), nowNanos, ServerHealth.UNPROVEN)
        .announced(announcement, nowNanos);
  }

  HostedServer announced(Announcement next, long nowNanos) {
    long coldNanos = TimeUnit.MILLISECONDS.toNanos(next.coldMillis());
    return new HostedServer(
        next, nowNanos, busySlots, nowNanos + coldNanos, recentNanos, lastAdmittedNanos, health);
  }

  HostedServer admitted(long nowNanos) {
    Vector<Long> recent =
        recentNanos.dropWhile(admitted -> nowNanos - admitted >= RATE_WINDOW_NANOS);
    return new HostedServer(
        announcement,
        announcedNanos,
        busySlots + 1,
        coldUntilNanos,
        recent.append(nowNanos),
        nowNanos,
        health.tried(nowNanos));
  }

  HostedServer freed() {
    return new HostedServer(
        announcement,
        announcedNanos,
        Math.max(0, busySlots - 1),
        coldUntilNanos,
        recentNanos,
        lastAdmittedNanos,
        health);
  }

  HostedServer with(ServerHealth next) {
    return new HostedServer(
        announcement,
        announcedNanos,
        busySlots,
        coldUntilNanos,
        recentNanos,
        lastAdmittedNanos,
        next);
  }

  boolean takesWork() {
    return announcement.state() == Announcement.State.SERVING;
  }

  boolean isCold(long nowNanos) {
    return nowNanos < coldUntilNanos;
  }

  /** Whether it has been sent no request for a while. */
  boolean hasRested(long restNanos, long nowNanos) {
    return nowNanos - lastAdmittedNanos >= restNanos;
  }

  int admittedWithin(long windowNanos, long nowNanos) {
    return recentNanos.count(admitted -> nowNanos - admitted < windowNanos);
  }
}
