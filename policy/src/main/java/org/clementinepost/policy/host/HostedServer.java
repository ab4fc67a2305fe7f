package org.clementinepost.policy.host;

/**
 * A backend server that has announced itself to this host.
 *
 * @param announcement its last announcement
 * @param announcedNanos when that came
 * @param busySlots the admissions that have not ended
 */
public record HostedServer(Announcement announcement, long announcedNanos, int busySlots) {
  HostedServer withBusySlots(int next) {
    return new HostedServer(announcement, announcedNanos, next);
  }

  boolean takesWork() {
    return announcement.state() == Announcement.State.SERVING;
  }
}
