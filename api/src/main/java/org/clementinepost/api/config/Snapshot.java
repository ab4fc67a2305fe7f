package org.clementinepost.api.config;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ServiceId;

/**
 * A whole checked configuration at one version.
 *
 * <p>The maps are persistent: a snapshot made from another by a few changes shares the rest with
 * it, so that one change costs the same at any number of objects.
 *
 * @param version counts the published versions, from one; zero before the first
 * @param keys the granted keys by their hash
 */
public record Snapshot(
    long version,
    Map<CustomerId, Customer> customers,
    Map<String, Key> keys,
    Map<ServiceId, Service> services,
    Map<FailureDomainId, FailureDomain> domains,
    RouteTable routes,
    Map<BackendServerId, Drain> drains) {

  private static final Snapshot EMPTY =
      new Snapshot(
          0,
          HashMap.empty(),
          HashMap.empty(),
          HashMap.empty(),
          HashMap.empty(),
          RouteTable.empty(),
          HashMap.empty());

  /** The snapshot before anything was published. */
  public static Snapshot empty() {
    return EMPTY;
  }

  /** The customer whose key has this hash. */
  public Option<Key> keyByHash(String sha256Hex) {
    return keys.get(sha256Hex);
  }

  /** Whether a failure domain takes work; one that no object names does. */
  public boolean domainInService(FailureDomainId domain) {
    return domains.get(domain).map(FailureDomain::inService).getOrElse(true);
  }

  /** Whether an operator has ordered that a backend server get no new work. */
  public boolean isDrained(BackendServerId server) {
    return drains.containsKey(server);
  }
}
