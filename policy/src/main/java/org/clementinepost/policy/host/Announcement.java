package org.clementinepost.policy.host;

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
 */
public record Announcement(
    BackendServerId server,
    ServiceId service,
    NetworkAddress address,
    int slots,
    int connections,
    State state,
    long uptimeMillis,
    int busySlots) {

  /** Whether a backend server takes new work. */
  public enum State {
    SERVING,
    DRAINING,
    GONE
  }
}
