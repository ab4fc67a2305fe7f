package org.clementinepost.testing.backend;

/**
 * What a backend server tells its node each second.
 *
 * @param id the backend server's name
 * @param service the service that it is part of
 * @param address where it listens
 * @param slots the requests that it runs at once
 * @param connections the connections that it bears
 * @param state whether it serves
 * @param uptimeMillis the time since it started
 * @param load what it says of its load
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

  /** The load as the backend server reports it. */
  public record Load(int busySlots) {}
}
