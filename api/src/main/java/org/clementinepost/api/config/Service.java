package org.clementinepost.api.config;

import org.clementinepost.api.ServiceId;

/**
 * A service with the settings for its backend servers.
 *
 * @param id the name of the service
 * @param floorPercent the percentage of the announced capacity that ejection must leave in use
 * @param minBackendServers the minimum number of backend servers that the service is expected to
 *     have
 * @param timeoutMillis the timeout of requests that specify none
 * @param coldStartMillis the time for which a started backend server is warmed up
 * @param coldStartSlots the number of slots of a backend server right after its start
 * @param coldRequestsPerSecond the request rate of a cold backend server; zero limits it by its
 *     slots only
 * @param healthPath the path at which a backend server reports whether it accepts requests
 * @param maxConnections the maximum number of connections to a backend server; zero uses the node's
 *     setting
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

  /** Creates a service whose cold backend servers are limited by their slots only. */
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
