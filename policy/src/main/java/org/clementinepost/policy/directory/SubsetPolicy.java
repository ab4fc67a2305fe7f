package org.clementinepost.policy.directory;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NodeId;
import org.clementinepost.policy.membership.StableHash;

/**
 * Decides which of a service's backend servers one ingress node uses.
 *
 * <p>Each ingress node ranks the backend servers of a failure domain by a combined hash of both
 * names and takes the first ones; each domain contributes in proportion to its size. The rankings
 * of different ingress nodes are independent, so that with many of them each backend server is used
 * by nearly the same number. With few subscribers the subsets are larger, so that all backend
 * servers are used.
 */
public final class SubsetPolicy {
  private static final int MIN_ENDPOINTS = 16;
  private static final int MAX_ENDPOINTS = 512;
  private static final int SUBSCRIBERS_PER_ENDPOINT = 8;

  private SubsetPolicy() {}

  /**
   * Returns the backend servers for an ingress node, given the number of ingress nodes that use the
   * service.
   */
  public static Vector<Endpoint> subset(
      Vector<Endpoint> endpoints, NodeId ingress, int subscribers) {
    int size = subsetSize(endpoints.size(), subscribers);
    if (size >= endpoints.size()) {
      return endpoints.sortBy(Endpoint::server);
    }
    Map<FailureDomainId, Vector<Endpoint>> byDomain = endpoints.groupBy(Endpoint::domain);
    long ingressHash = StableHash.of(ingress.value());
    return byDomain
        .values()
        .flatMap(
            domain ->
                rankByHash(domain, ingressHash)
                    .take(domainShare(size, domain.size(), endpoints.size())))
        .toVector()
        .sortBy(Endpoint::server);
  }

  /**
   * Returns the size of a subset: a power of two, so that one subscriber more or less rarely
   * changes the subsets of all others.
   */
  private static int subsetSize(int endpoints, int subscribers) {
    int target = endpoints * SUBSCRIBERS_PER_ENDPOINT / Math.max(1, subscribers);
    int rounded = Integer.highestOneBit(Math.max(1, target - 1)) << 1;
    return Math.min(MAX_ENDPOINTS, Math.max(MIN_ENDPOINTS, rounded));
  }

  /**
   * Returns the share of a failure domain in a subset, in proportion to its backend servers and
   * rounded up.
   */
  private static int domainShare(int size, int inDomain, int endpoints) {
    return (size * inDomain + endpoints - 1) / endpoints;
  }

  private static Vector<Endpoint> rankByHash(Vector<Endpoint> domain, long ingressHash) {
    return domain.sortBy(
        endpoint -> StableHash.of(ingressHash, StableHash.of(endpoint.server().value())));
  }
}
