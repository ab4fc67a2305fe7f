package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.FailureDomainId;

/**
 * Prefers the backend servers in the failure domain of this node, which saves traffic between
 * domains.
 *
 * <p>A node observes only the servers that it uses, so the servers that it ejects or avoids are
 * mostly those of its own domain. The floor of a service alone would let the nodes of each domain
 * pass over nearly all servers of that domain. The own domain is therefore preferred only while it
 * keeps the floor by itself.
 *
 * @param ownDomain the failure domain of this node
 */
record DomainPreference(Option<FailureDomainId> ownDomain) {
  /**
   * Returns the candidates in the own domain if their slots reach the floor percentage of all slots
   * of the service in that domain, otherwise all candidates.
   */
  Vector<Endpoint> preferred(ServiceState service, Vector<Endpoint> candidates) {
    Vector<Endpoint> preferred = inOwnDomain(candidates);
    if (preferred.isEmpty()) {
      return candidates;
    }
    int domainSlots =
        ServiceState.totalSlots(inOwnDomain(service.inUse()))
            + ServiceState.totalSlots(inOwnDomain(service.ejected()));
    boolean keepsFloor =
        ServiceState.totalSlots(preferred)
            >= ServiceState.floorSlots(domainSlots, service.floorPercent());
    return keepsFloor ? preferred : candidates;
  }

  private Vector<Endpoint> inOwnDomain(Vector<Endpoint> endpoints) {
    return endpoints.filter(endpoint -> ownDomain.contains(endpoint.domain()));
  }
}
