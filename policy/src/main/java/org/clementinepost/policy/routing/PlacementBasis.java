package org.clementinepost.policy.routing;

/**
 * What a placement was based on, for the log.
 *
 * @param reason the value of the log field {@code reason}
 * @param known the number of backend servers of the service that this node knows
 * @param ejected how many of them are ejected
 * @param eligible the number of backend servers that the choice was made among
 */
public record PlacementBasis(String reason, int known, int ejected, int eligible) {
  static PlacementBasis of(ServiceState service, String reason, int eligible) {
    return new PlacementBasis(reason, service.servers().size(), service.ejected().size(), eligible);
  }
}
