package org.clementinepost.testing.backend;

/**
 * The body of an announcement, by which a backend server registers with its node.
 *
 * @param id the name of the backend server
 * @param service the service that it belongs to
 * @param address the address that it listens on
 * @param slots the number of requests that it runs concurrently
 * @param connections the maximum number of connections that it accepts
 * @param state its lifecycle state
 * @param uptimeMillis the time since its start
 * @param load its current load
 */
public record Announcement(
    String id,
    String service,
    String address,
    int slots,
    int connections,
    Lifecycle state,
    long uptimeMillis,
    Load load) {

  /**
   * The load that the backend server reports.
   *
   * @param busySlots the number of requests that are running
   */
  public record Load(int busySlots) {}
}
