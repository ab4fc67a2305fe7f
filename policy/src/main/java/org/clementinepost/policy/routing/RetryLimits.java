package org.clementinepost.policy.routing;

/**
 * One node's part of the retries that the whole fleet may add to the load of a service.
 *
 * <p>The fleet may send retries for a fraction of its requests, and in addition a burst. Each node
 * earns the fraction from its own requests and holds an equal part of the burst, so that the sum
 * over all nodes stays within the bound at any size of the fleet. A node that restarts begins with
 * what its predecessor can't have held, so that restarts do not add to the burst either.
 *
 * @param milliTokensPerRequest what a request adds to the budget, in thousandths of a retry
 * @param maxMilliTokens the most that a node holds, in thousandths of a retry
 * @param initialMilliTokens what a node holds at its start, in thousandths of a retry
 */
public record RetryLimits(
    long milliTokensPerRequest, long maxMilliTokens, long initialMilliTokens) {
  static final long MILLI_TOKENS_PER_RETRY = 1_000;

  /** The rest is left for the calls that backend servers make while they run a retry. */
  private static final double USABLE_PART = 0.8;

  /** The part of a node's share of the burst that it may hold; it begins with the rest. */
  private static final double HELD_PART = 0.8;

  /** The limits of a node that doesn't know the size of its fleet yet. */
  static final RetryLimits UNKNOWN_FLEET = ofFleet(0.2, 0, 1);

  /**
   * Returns the limits of one node.
   *
   * @param fraction the fraction of the requests to a service that the fleet may send again
   * @param fleetBurst the retries that the fleet may send in addition
   * @param nodes the number of nodes
   */
  public static RetryLimits ofFleet(double fraction, double fleetBurst, int nodes) {
    long share = (long) (MILLI_TOKENS_PER_RETRY * fleetBurst / Math.max(1, nodes));
    // A node that could not hold one whole retry would never send any.
    long max = Math.max(MILLI_TOKENS_PER_RETRY, (long) (share * HELD_PART));
    return new RetryLimits(
        (long) (MILLI_TOKENS_PER_RETRY * fraction * USABLE_PART), max, Math.max(0, share - max));
  }
}
