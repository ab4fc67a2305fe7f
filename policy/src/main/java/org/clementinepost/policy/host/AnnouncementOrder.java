package org.clementinepost.policy.host;

import java.util.Comparator;

/**
 * Orders the announcements of one address.
 *
 * <p>Announcements may arrive out of order, or after the process that sent them has ended.
 *
 * @param serverStartMillis the start time of the backend server, by its own clock
 * @param sequenceNumber the number of the announcement since that start
 */
public record AnnouncementOrder(long serverStartMillis, long sequenceNumber)
    implements Comparable<AnnouncementOrder> {
  private static final Comparator<AnnouncementOrder> ORDER =
      Comparator.comparingLong(AnnouncementOrder::serverStartMillis)
          .thenComparingLong(AnnouncementOrder::sequenceNumber);

  /** The position of a backend server that was discovered before it announced itself. */
  public static final AnnouncementOrder BEFORE_FIRST_ANNOUNCEMENT = new AnnouncementOrder(0, 0);

  @Override
  public int compareTo(AnnouncementOrder other) {
    return ORDER.compare(this, other);
  }

  /** Returns the position after every announcement of the same start. */
  AnnouncementOrder latestOfSameStart() {
    return new AnnouncementOrder(serverStartMillis, Long.MAX_VALUE);
  }
}
