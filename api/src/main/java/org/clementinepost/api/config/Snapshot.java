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

  /** The snapshot before anything was published. */
  public static Snapshot empty() {
    return EMPTY;
  }

  /** The same objects at another version. */
  public Snapshot withVersion(long value) {
    return new Snapshot(value, customers, keys, services, domains, routes, drains);
  }

  /** This snapshot with one more object, in place of the one that has its place. */
  public Snapshot with(ConfigurationObject object) {
    return SnapshotEdit.put(this, object);
  }

  /** This snapshot without an object. */
  public Snapshot without(ConfigurationObject object) {
    return SnapshotEdit.remove(this, object);
  }

  /**
   * The next version.
   *
   * <p>The cost grows with the changes and not with the number of objects.
   */
  public Snapshot apply(Delta delta) {
    if (delta.fromVersion() != version) {
      throw new IllegalArgumentException(
          "a delta from version " + delta.fromVersion() + " on version " + version);
    }
    Snapshot kept = delta.removals().foldLeft(this, Snapshot::without);
    return delta.upserts().foldLeft(kept, Snapshot::with).withVersion(delta.toVersion());
  }

  /** All objects, kind by kind. */
  public Vector<ConfigurationObject> objects() {
    return Vector.<ConfigurationObject>empty()
        .appendAll(domains.values())
        .appendAll(services.values())
        .appendAll(customers.values())
        .appendAll(keys.values())
        .appendAll(routes.routes())
        .appendAll(drains.values());
  }

  /** Finds an object by its name; it looks through all objects of the kind. */
  public Option<ConfigurationObject> find(ObjectRef ref) {
    return objects().find(object -> object.ref().equals(ref));
  }

  /** The customer whose key has this hash. */
  public Option<ApiKey> keyByHash(String sha256Hex) {
    return keys.get(sha256Hex);
  }

  /** Whether a failure domain takes work; one that no object names does. */
  public boolean isDomainInService(FailureDomainId domain) {
    return domains.get(domain).map(FailureDomain::inService).getOrElse(true);
  }

  /** Whether an operator has ordered that a backend server get no new work. */
  public boolean isDrained(BackendServerId server) {
    return drains.containsKey(server);
  }
}
