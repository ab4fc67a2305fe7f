package org.clementinepost.api.config;

import io.vavr.collection.Map;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ServiceId;

/** Puts objects into a snapshot and takes them out, each kind in its own map. */
final class SnapshotEdit {
  private SnapshotEdit() {}

  static Snapshot put(Snapshot s, ConfigurationObject object) {
    if (object instanceof Customer customer) {
      return new Snapshot(
          s.version(),
          s.customers().put(customer.id(), customer),
          s.keys(),
          s.services(),
          s.domains(),
          s.routes(),
          s.drains());
    }
    if (object instanceof ApiKey key) {
      return withKeys(s, s.keys().put(key.sha256Hex(), key));
    }
    if (object instanceof Service service) {
      return withServices(s, s.services().put(service.id(), service));
    }
    if (object instanceof FailureDomain domain) {
      return withDomains(s, s.domains().put(domain.id(), domain));
    }
    if (object instanceof Route route) {
      return withRoutes(s, s.routes().with(route));
    }
    Drain drain = (Drain) object;
    return withDrains(s, s.drains().put(drain.server(), drain));
  }

  static Snapshot remove(Snapshot s, ConfigurationObject object) {
    if (object instanceof Customer customer) {
      return new Snapshot(
          s.version(),
          s.customers().remove(customer.id()),
          s.keys(),
          s.services(),
          s.domains(),
          s.routes(),
          s.drains());
    }
    if (object instanceof ApiKey key) {
      return withKeys(s, s.keys().remove(key.sha256Hex()));
    }
    if (object instanceof Service service) {
      return withServices(s, s.services().remove(service.id()));
    }
    if (object instanceof FailureDomain domain) {
      return withDomains(s, s.domains().remove(domain.id()));
    }
    if (object instanceof Route route) {
      return withRoutes(s, s.routes().without(route));
    }
    return withDrains(s, s.drains().remove(((Drain) object).server()));
  }

  private static Snapshot withKeys(Snapshot s, Map<String, ApiKey> keys) {
    return new Snapshot(
        s.version(), s.customers(), keys, s.services(), s.domains(), s.routes(), s.drains());
  }

  private static Snapshot withServices(Snapshot s, Map<ServiceId, Service> services) {
    return new Snapshot(
        s.version(), s.customers(), s.keys(), services, s.domains(), s.routes(), s.drains());
  }

  private static Snapshot withDomains(Snapshot s, Map<FailureDomainId, FailureDomain> domains) {
    return new Snapshot(
        s.version(), s.customers(), s.keys(), s.services(), domains, s.routes(), s.drains());
  }

  private static Snapshot withRoutes(Snapshot s, RouteTable routes) {
    return new Snapshot(
        s.version(), s.customers(), s.keys(), s.services(), s.domains(), routes, s.drains());
  }

  private static Snapshot withDrains(Snapshot s, Map<BackendServerId, Drain> drains) {
    return new Snapshot(
        s.version(), s.customers(), s.keys(), s.services(), s.domains(), s.routes(), drains);
  }
}
