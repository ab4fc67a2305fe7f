package org.clementinepost.api.config;

import org.clementinepost.api.ServiceId;

/**
 * A service and how its backend servers are to be treated.
 *
 * @param id the service's name
 * @param floorPercent the part of the announced capacity that ejection leaves in use
 * @param minBackendServers backend servers that the service counts on
 * @param timeoutMillis the deadline of a request that brings none
 * @param coldStartMillis how long a started backend server is warmed up
 * @param coldStartSlots the slots that a started backend server bears at first
 * @param coldRequestsPerSecond what a cold backend server bears; zero leaves it to its slots
 * @param healthPath where a backend server tells whether it takes work
 * @param maxConnections connections that a backend server takes; zero leaves it to the node
 */
public record Service(
    ServiceId id,
    int floorPercent,
    int minBackendServers,
    long timeoutMillis,
    long coldStartMillis,
    int coldStartSlots,
    double coldRequestsPerSecond,
    String healthPath,
    int maxConnections)
    implements ConfigurationObject {
  private static final String DEFAULT_HEALTH_PATH = "/health";

  /** A service whose backend servers bear in the cold what their slots say. */
  public Service(
      ServiceId id,
      int floorPercent,
      int minBackendServers,
      long timeoutMillis,
      long coldStartMillis,
      int coldStartSlots) {
    this(
        id,
        floorPercent,
        minBackendServers,
        timeoutMillis,
        coldStartMillis,
        coldStartSlots,
        0,
        DEFAULT_HEALTH_PATH,
        0);
  }

  @Override
  public ObjectKind kind() {
    return ObjectKind.SERVICE;
  }

  @Override
  public String name() {
    return id.value();
  }
}
