package org.clementinepost.policy.host;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ServiceId;

/**
 * The state and capacity that a backend server reports about itself.
 *
 * @param server its name
 * @param service the service that it belongs to
 * @param address the address at which it accepts requests
 * @param slots the maximum number of concurrent requests
 * @param connections the maximum number of connections
 * @param state whether it accepts new requests
 * @param uptimeMillis the time since it started
 * @param busySlots the number of slots that it reports as in use
 * @param coldRemainingMillis the time until its cold start is over; zero when it is warm
 * @param order its position among the announcements of its address; one without a position counts
 *     as the newest
 */
public record Announcement(
    BackendServerId server,
    ServiceId service,
    NetworkAddress address,
    int slots,
    int connections,
    State state,
    long uptimeMillis,
    int busySlots,
    long coldRemainingMillis,
    Option<AnnouncementOrder> order) {

  /** The most slots of a backend server, so that those of a whole service can be added up. */
  public static final int MAX_SLOTS = 100_000;

  /** The longest cold start, in milliseconds. */
  public static final long MAX_COLD_REMAINING_MILLIS = TimeUnit.DAYS.toMillis(1);

  private static final NetworkAddress NO_ADDRESS = new NetworkAddress("", 0);

  /** Creates the last announcement of a backend server that is shutting down. */
  public static Announcement gone(BackendServerId server, Option<AnnouncementOrder> order) {
    return new Announcement(
        server, new ServiceId(""), NO_ADDRESS, 1, 1, State.GONE, 0, 0, 0, order);
  }

  /**
   * Returns the position up to which announcements of the server are void after this one; none if
   * it isn't leaving, or doesn't tell its position.
   */
  public Option<AnnouncementOrder> departureOrder() {
    return switch (state) {
      case SERVING -> Option.none();
      case DRAINING -> order;
      case GONE -> order.map(AnnouncementOrder::latestOfSameStart);
    };
  }

  /** Whether a backend server accepts new requests. */
  public enum State {
    SERVING,
    DRAINING,
    GONE
  }
}
