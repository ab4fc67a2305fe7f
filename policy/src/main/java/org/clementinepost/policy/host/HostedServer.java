package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;

/**
 * A backend server of this host, with its load and health as the host observes them.
 *
 * @param announcement its last announcement
 * @param lastAnnouncedNanos when that arrived
 * @param inFlight the number of requests in flight
 * @param coldUntilNanos when its cold start ends
 * @param recentAdmissionsNanos the times of the admissions in the last second, oldest first
 * @param lastAdmittedNanos when a request was last admitted, or when the server became known
 * @param health its health, as observed from its responses
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

  /** Creates a backend server that has just become known. */
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

  /** Whether no request was admitted in the given time. */
  boolean hasNoAdmissionFor(long durationNanos, long nowNanos) {
    return nowNanos - lastAdmittedNanos >= durationNanos;
  }

  int countAdmissionsWithin(long windowNanos, long nowNanos) {
    return recentAdmissionsNanos.count(admitted -> nowNanos - admitted < windowNanos);
  }
}
