package org.clementinepost.policy.host;

import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ServiceId;

/**
 * What a backend server says of itself.
 *
 * @param server its name
 * @param service the service that it answers for
 * @param address where it takes requests
 * @param slots requests that it takes at once
 * @param connections connections that it takes
 * @param state whether it takes new work
 * @param uptimeMillis the time since it started
 * @param busySlots the slots that it reports as busy
 * @param coldRemainingMillis how much longer it is cold; zero when it is warm
 * @param order its place among the announcements of its address; none is the newest
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

  private static final NetworkAddress NO_ADDRESS = new NetworkAddress("", 0);

  /** The last word of a backend server, of which nothing but its name need be known. */
  public static Announcement gone(BackendServerId server, Option<AnnouncementOrder> order) {
    return new Announcement(
        server, new ServiceId(""), NO_ADDRESS, 1, 1, State.GONE, 0, 0, 0, order);
  }

  /** Whether a backend server takes new work. */
  public enum State {
    SERVING,
    DRAINING,
    GONE
  }
}
