package org.clementinepost.policy.host;

import java.util.Comparator;

/**
 * The place of an announcement among those of one address.
 *
 * <p>Announcements may overtake each other and outlive the process that sent them.
 *
 * @param serverStartMillis when the backend server started, by its own clock
 * @param sequenceNumber counts its announcements since then
 */
public record AnnouncementOrder(long serverStartMillis, long sequenceNumber)
    implements Comparable<AnnouncementOrder> {
  private static final Comparator<AnnouncementOrder> ORDER =
      Comparator.comparingLong(AnnouncementOrder::serverStartMillis)
          .thenComparingLong(AnnouncementOrder::sequenceNumber);

  /** The place of what a backend server was found to be before any announcement of it came. */
  public static final AnnouncementOrder BEFORE_FIRST_ANNOUNCEMENT = new AnnouncementOrder(0, 0);

  @Override
  public int compareTo(AnnouncementOrder other) {
    return ORDER.compare(this, other);
  }

  /** The place behind every announcement of the same start. */
  AnnouncementOrder latestOfSameStart() {
    return new AnnouncementOrder(serverStartMillis, Long.MAX_VALUE);
  }
}
