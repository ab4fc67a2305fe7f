package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.FailureDomainId;

/**
 * Prefers the backend servers in the failure domain of this node, which saves traffic between
 * domains.
 *
 * @param ownDomain the failure domain of this node
 */
record DomainPreference(Option<FailureDomainId> ownDomain) {
  /** Returns the candidates in the own domain if there are any, otherwise all candidates. */
  Vector<Endpoint> preferred(Vector<Endpoint> candidates) {
    Vector<Endpoint> inOwnDomain =
        candidates.filter(endpoint -> ownDomain.contains(endpoint.domain()));
    return inOwnDomain.isEmpty() ? candidates : inOwnDomain;
  }
}
