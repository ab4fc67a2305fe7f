package org.clementinepost.policy.routing;

/**
 * What a placement was based on, for the log.
 *
 * @param reason the value of the log field {@code reason}
 * @param known the number of backend servers of the service that this node knows
 * @param ejected how many of them are ejected
 * @param eligible the number of backend servers that the choice was made among
 * @param queries what load queries contributed
 */
public record PlacementBasis(
    String reason, int known, int ejected, int eligible, QueryBasis queries) {
  /** Creates the basis of a placement without load queries. */
  public PlacementBasis(String reason, int known, int ejected, int eligible) {
    this(reason, known, ejected, eligible, QueryBasis.NONE);
  }

  static PlacementBasis of(ServiceState service, String reason, int eligible) {
    return new PlacementBasis(reason, service.servers().size(), service.ejected().size(), eligible);
  }

  PlacementBasis with(QueryBasis next) {
    return new PlacementBasis(reason, known, ejected, eligible, next);
  }
}
