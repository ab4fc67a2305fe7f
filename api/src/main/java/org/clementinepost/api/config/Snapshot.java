package org.clementinepost.api.config;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ServiceId;

/**
 * A complete, validated configuration at one version.
 *
 * <p>The maps are persistent: a snapshot that differs from another in a few objects shares the rest
 * with it, so the cost of a change does not depend on the number of objects.
 *
 * @param version the number of the published version, starting at one; zero before the first
 * @param keys the API keys by their hash
 */
public record Snapshot(
    long version,
    Map<CustomerId, Customer> customers,
    Map<String, ApiKey> keys,
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

  /** Returns the snapshot before the first published version. */
  public static Snapshot empty() {
    return EMPTY;
  }

  /** Returns the same objects at another version. */
  public Snapshot withVersion(long value) {
    return new Snapshot(value, customers, keys, services, domains, routes, drains);
  }

  /** Returns this snapshot with an object, which replaces the one under the same map key. */
  public Snapshot with(ConfigurationObject object) {
    return SnapshotEdit.put(this, object);
  }

  /** Returns this snapshot without an object. */
  public Snapshot without(ConfigurationObject object) {
    return SnapshotEdit.remove(this, object);
  }

  /**
   * Returns the snapshot that results from a delta.
   *
   * <p>The cost depends on the number of changes and not on the number of objects.
   *
   * @throws IllegalArgumentException if the delta applies to another version
   */
  public Snapshot apply(Delta delta) {
    if (delta.fromVersion() != version) {
      throw new IllegalArgumentException(
          "delta applies to version " + delta.fromVersion() + ", snapshot is version " + version);
    }
    Snapshot unchanged = delta.removals().foldLeft(this, Snapshot::without);
    return delta.upserts().foldLeft(unchanged, Snapshot::with).withVersion(delta.toVersion());
  }

  /** Returns all objects, grouped by kind. */
  public Vector<ConfigurationObject> objects() {
    return Vector.<ConfigurationObject>empty()
        .appendAll(domains.values())
        .appendAll(services.values())
        .appendAll(customers.values())
        .appendAll(keys.values())
        .appendAll(routes.routes())
        .appendAll(drains.values());
  }

  /** Finds an object by kind and name, with a linear search through all objects. */
  public Option<ConfigurationObject> find(ObjectRef ref) {
    return objects().find(object -> object.ref().equals(ref));
  }

  /** Returns the API key with the given hash. */
  public Option<ApiKey> keyByHash(String sha256Hex) {
    return keys.get(sha256Hex);
  }

  /** Returns whether a failure domain is in service; domains without a configuration object are. */
  public boolean isDomainInService(FailureDomainId domain) {
    return domains.get(domain).map(FailureDomain::inService).getOrElse(true);
  }

  /** Returns whether an operator has drained a backend server. */
  public boolean isDrained(BackendServerId server) {
    return drains.containsKey(server);
  }
}
