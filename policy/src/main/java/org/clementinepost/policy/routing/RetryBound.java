package org.clementinepost.policy.routing;

/**
 * The bound on the retries of the whole fleet to a service.
 *
 * @param fraction the fraction of the requests to a service that may be sent again
 * @param burst the number of retries in addition
 */
public record RetryBound(double fraction, double burst) {
  /** Returns one node's part of the bound in a fleet of the given size. */
  public RetryLimits limitsOf(int nodes) {
    return RetryLimits.ofFleet(fraction, burst, nodes);
  }
}
