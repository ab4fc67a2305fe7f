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
 * @param lastIdempotentNanos when an idempotent request last asked for admission
 * @param health its health, as observed from its responses
 * @param runTimes the time that it usually takes for a request
 * @param shares the use that customers have made of it; unused without a fair queue
 */
public record HostedServer(
    Announcement announcement,
    long lastAnnouncedNanos,
    int inFlight,
    long coldUntilNanos,
    Vector<Long> recentAdmissionsNanos,
    long lastAdmittedNanos,
    long lastIdempotentNanos,
    ServerHealth health,
    RunTimes runTimes,
    FairShares shares) {
  static final long RATE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  /** Creates a backend server that has just become known. */
  static HostedServer of(Announcement announcement, long nowNanos) {
    return new HostedServer(
            announcement,
            nowNanos,
            0,
            0,
            Vector.empty(),
            nowNanos,
            NEVER_NANOS,
            ServerHealth.INITIAL,
            RunTimes.UNKNOWN,
            FairShares.INITIAL)
        .withAnnouncement(announcement, nowNanos);
  }

  HostedServer withAnnouncement(Announcement next, long nowNanos) {
    long coldNanos = TimeUnit.MILLISECONDS.toNanos(next.coldRemainingMillis());
    return toBuilder()
        .announcement(next)
        .lastAnnouncedNanos(nowNanos)
        .coldUntilNanos(nowNanos + coldNanos)
        .build();
  }

  HostedServer withAdmission(long nowNanos) {
    Vector<Long> recent =
        recentAdmissionsNanos.dropWhile(admitted -> nowNanos - admitted >= RATE_WINDOW_NANOS);
    return toBuilder()
        .inFlight(inFlight + 1)
        .recentAdmissionsNanos(recent.append(nowNanos))
        .lastAdmittedNanos(nowNanos)
        .health(health.withRequestSent(nowNanos))
        .build();
  }

  HostedServer withIdempotentRequest(long nowNanos) {
    return toBuilder().lastIdempotentNanos(nowNanos).build();
  }

  HostedServer withSlotReleased() {
    return toBuilder().inFlight(Math.max(0, inFlight - 1)).build();
  }

  HostedServer withHealth(ServerHealth next) {
    return toBuilder().health(next).build();
  }

  HostedServer withRunTimes(RunTimes next) {
    return toBuilder().runTimes(next).build();
  }

  HostedServer withShares(FairShares next) {
    return toBuilder().shares(next).build();
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

  /** Whether an idempotent request has asked for admission in the given time. */
  boolean hasIdempotentRequestWithin(long durationNanos, long nowNanos) {
    return nowNanos - lastIdempotentNanos < durationNanos;
  }

  int countAdmissionsWithin(long windowNanos, long nowNanos) {
    return recentAdmissionsNanos.count(admitted -> nowNanos - admitted < windowNanos);
  }

  private Builder toBuilder() {
    return new Builder(this);
  }

  /** Builds a copy with other values. */
  private static final class Builder {
    private Announcement announcement;
    private long lastAnnouncedNanos;
    private int inFlight;
    private long coldUntilNanos;
    private Vector<Long> recentAdmissionsNanos;
    private long lastAdmittedNanos;
    private long lastIdempotentNanos;
    private ServerHealth health;
    private RunTimes runTimes;
    private FairShares shares;

    private Builder(HostedServer server) {
      announcement = server.announcement;
      lastAnnouncedNanos = server.lastAnnouncedNanos;
      inFlight = server.inFlight;
      coldUntilNanos = server.coldUntilNanos;
      recentAdmissionsNanos = server.recentAdmissionsNanos;
      lastAdmittedNanos = server.lastAdmittedNanos;
      lastIdempotentNanos = server.lastIdempotentNanos;
      health = server.health;
      runTimes = server.runTimes;
      shares = server.shares;
    }

    Builder announcement(Announcement next) {
      announcement = next;
      return this;
    }

    Builder lastAnnouncedNanos(long next) {
      lastAnnouncedNanos = next;
      return this;
    }

    Builder inFlight(int next) {
      inFlight = next;
      return this;
    }

    Builder coldUntilNanos(long next) {
      coldUntilNanos = next;
      return this;
    }

    Builder recentAdmissionsNanos(Vector<Long> next) {
      recentAdmissionsNanos = next;
      return this;
    }

    Builder lastAdmittedNanos(long next) {
      lastAdmittedNanos = next;
      return this;
    }

    Builder lastIdempotentNanos(long next) {
      lastIdempotentNanos = next;
      return this;
    }

    Builder health(ServerHealth next) {
      health = next;
      return this;
    }

    Builder runTimes(RunTimes next) {
      runTimes = next;
      return this;
    }

    Builder shares(FairShares next) {
      shares = next;
      return this;
    }

    HostedServer build() {
      return new HostedServer(
          announcement,
          lastAnnouncedNanos,
          inFlight,
          coldUntilNanos,
          recentAdmissionsNanos,
          lastAdmittedNanos,
          lastIdempotentNanos,
          health,
          runTimes,
          shares);
    }
  }
}
