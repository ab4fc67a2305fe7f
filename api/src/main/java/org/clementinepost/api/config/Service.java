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
 */
public record Service(
    ServiceId id,
    int floorPercent,
    int minBackendServers,
    long timeoutMillis,
    long coldStartMillis,
    int coldStartSlots)
    implements ConfigurationObject {
  @Override
  public ObjectKind kind() {
    return ObjectKind.SERVICE;
  }

  @Override
  public String name() {
    return id.value();
  }
}
