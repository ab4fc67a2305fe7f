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
 * <p>Each ingress ranks the backend servers of a failure domain by a hash of both names and takes
 * the first of them; every domain gives its part. The ranks of different ingress nodes are
 * independent, so that over many of them each backend server is used by nearly as many. With few
 * subscribers each uses more, so that all backend servers are used.
 */
public final class SubsetPolicy {
  private static final int MIN_ENDPOINTS = 16;
  private static final int MAX_ENDPOINTS = 512;
  private static final int SUBSCRIBERS_PER_ENDPOINT = 8;

  private SubsetPolicy() {}

  /** The backend servers for an ingress node, when so many ingress nodes use the service. */
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

  /** A power of two, so that a subscriber more or less seldom changes everybody's subset. */
  private static int subsetSize(int endpoints, int subscribers) {
    int wanted = endpoints * SUBSCRIBERS_PER_ENDPOINT / Math.max(1, subscribers);
    int rounded = Integer.highestOneBit(Math.max(1, wanted - 1)) << 1;
    return Math.min(MAX_ENDPOINTS, Math.max(MIN_ENDPOINTS, rounded));
  }

  /** A failure domain's part by its number of backend servers, rounded up. */
  private static int domainShare(int size, int inDomain, int endpoints) {
    return (size * inDomain + endpoints - 1) / endpoints;
  }

  private static Vector<Endpoint> rankByHash(Vector<Endpoint> domain, long ingressHash) {
    return domain.sortBy(
        endpoint -> StableHash.of(ingressHash, StableHash.of(endpoint.server().value())));
  }
}
