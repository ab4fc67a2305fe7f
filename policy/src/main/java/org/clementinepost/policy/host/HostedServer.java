package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;

/**
 * A backend server that has announced itself to this host.
 *
 * @param announcement its last announcement
 * @param lastAnnouncedNanos when that came
 * @param inFlight the admissions that have not ended
 * @param coldUntilNanos when it will have warmed up
 * @param recentAdmissionsNanos the admissions of the last second, oldest first
 * @param lastAdmittedNanos when it was last sent a request, or became known
 * @param health whether it answers as it should
 */
public record HostedServer(
    Announcement announcement,
    long lastAnnouncedNanos,
    int inFlight,
    long coldUntilNanos,
    Vector<Long> recentAdmissionsNanos,
    long lastAdmittedNanos,
    ServerHealth health) {
  static final long RATE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** A backend server that announces itself for the first time. */
  static HostedServer of(Announcement announcement, long nowNanos) {
    return new HostedServer(
            announcement, nowNanos, 0, 0, Vector.empty(), nowNanos, ServerHealth.INITIAL)
        .withAnnouncement(announcement, nowNanos);
  }

  HostedServer withAnnouncement(Announcement next, long nowNanos) {
    long coldNanos = TimeUnit.MILLISECONDS.toNanos(next.coldRemainingMillis());
    return new HostedServer(
        next,
        nowNanos,
        inFlight,
        nowNanos + coldNanos,
        recentAdmissionsNanos,
        lastAdmittedNanos,
        health);
  }

  HostedServer withAdmission(long nowNanos) {
    Vector<Long> recent =
        recentAdmissionsNanos.dropWhile(admitted -> nowNanos - admitted >= RATE_WINDOW_NANOS);
    return new HostedServer(
        announcement,
        lastAnnouncedNanos,
        inFlight + 1,
        coldUntilNanos,
        recent.append(nowNanos),
        nowNanos,
        health.withRequestSent(nowNanos));
  }

  HostedServer withSlotReleased() {
    return new HostedServer(
        announcement,
        lastAnnouncedNanos,
        Math.max(0, inFlight - 1),
        coldUntilNanos,
        recentAdmissionsNanos,
        lastAdmittedNanos,
        health);
  }

  HostedServer withHealth(ServerHealth next) {
    return new HostedServer(
        announcement,
        lastAnnouncedNanos,
        inFlight,
        coldUntilNanos,
        recentAdmissionsNanos,
        lastAdmittedNanos,
        next);
  }

  boolean isServing() {
    return announcement.state() == Announcement.State.SERVING;
  }

  boolean isCold(long nowNanos) {
    return nowNanos < coldUntilNanos;
  }

  /** Whether it has been sent no request for a while. */
  boolean hasNoAdmissionFor(long restNanos, long nowNanos) {
    return nowNanos - lastAdmittedNanos >= restNanos;
  }

  int countAdmissionsWithin(long windowNanos, long nowNanos) {
    return recentAdmissionsNanos.count(admitted -> nowNanos - admitted < windowNanos);
  }
}
