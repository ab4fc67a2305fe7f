package org.clementinepost.api.config;

import io.vavr.collection.Map;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ServiceId;

/** Adds an object to a snapshot or removes it, in the map that holds its kind. */
final class SnapshotEdit {
  private SnapshotEdit() {}

  static Snapshot put(Snapshot base, ConfigurationObject object) {
    if (object instanceof Customer customer) {
      return new Snapshot(
          base.version(),
          base.customers().put(customer.id(), customer),
          base.keys(),
          base.services(),
          base.domains(),
          base.routes(),
          base.drains());
    }
    if (object instanceof ApiKey key) {
      return withKeys(base, base.keys().put(key.sha256Hex(), key));
    }
    if (object instanceof Service service) {
      return withServices(base, base.services().put(service.id(), service));
    }
    if (object instanceof FailureDomain domain) {
      return withDomains(base, base.domains().put(domain.id(), domain));
    }
    if (object instanceof Route route) {
      return withRoutes(base, base.routes().with(route));
    }
    Drain drain = (Drain) object;
    return withDrains(base, base.drains().put(drain.server(), drain));
  }

  static Snapshot remove(Snapshot base, ConfigurationObject object) {
    if (object instanceof Customer customer) {
      return new Snapshot(
          base.version(),
          base.customers().remove(customer.id()),
          base.keys(),
          base.services(),
          base.domains(),
          base.routes(),
          base.drains());
    }
    if (object instanceof ApiKey key) {
      return withKeys(base, base.keys().remove(key.sha256Hex()));
    }
    if (object instanceof Service service) {
      return withServices(base, base.services().remove(service.id()));
    }
    if (object instanceof FailureDomain domain) {
      return withDomains(base, base.domains().remove(domain.id()));
    }
    if (object instanceof Route route) {
      return withRoutes(base, base.routes().without(route));
    }
    return withDrains(base, base.drains().remove(((Drain) object).server()));
  }

  private static Snapshot withKeys(Snapshot base, Map<String, ApiKey> keys) {
    return new Snapshot(
        base.version(),
        base.customers(),
        keys,
        base.services(),
        base.domains(),
        base.routes(),
        base.drains());
  }

  private static Snapshot withServices(Snapshot base, Map<ServiceId, Service> services) {
    return new Snapshot(
        base.version(),
        base.customers(),
        base.keys(),
        services,
        base.domains(),
        base.routes(),
        base.drains());
  }

  private static Snapshot withDomains(Snapshot base, Map<FailureDomainId, FailureDomain> domains) {
    return new Snapshot(
        base.version(),
        base.customers(),
        base.keys(),
        base.services(),
        domains,
        base.routes(),
        base.drains());
  }

  private static Snapshot withRoutes(Snapshot base, RouteTable routes) {
    return new Snapshot(
        base.version(),
        base.customers(),
        base.keys(),
        base.services(),
        base.domains(),
        routes,
        base.drains());
  }

  private static Snapshot withDrains(Snapshot base, Map<BackendServerId, Drain> drains) {
    return new Snapshot(
        base.version(),
        base.customers(),
        base.keys(),
        base.services(),
        base.domains(),
        base.routes(),
        drains);
  }
}
