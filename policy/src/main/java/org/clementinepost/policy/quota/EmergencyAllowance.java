package org.clementinepost.policy.quota;

import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.config.Customer;

/**
 * Limits the requests that a node may admit on its own while the quota leader is unreachable.
 *
 * <p>The requests that all nodes together admit in this way stay within the tolerance above a
 * customer's rate and burst, however many nodes are cut off. If the tolerance is too small for one
 * token at each node, some nodes get none.
 *
 * @param toleratedShare the fraction of a customer's quota by which the fleet may exceed it
 * @param toleratedRequests the requests by which the fleet may exceed it in addition
 * @param windowSeconds the time window over which quota and excess are counted
 */
public record EmergencyAllowance(
    double toleratedShare, double toleratedRequests, double windowSeconds) {
  private static final double CAPACITY_TOKENS = 1;
  private static final double TOKENS_PER_SECOND = 1.0 / 15;

  /** The fraction of the tolerance used for this allowance; the rest is for requests in flight. */
  private static final double ALLOCATED_FRACTION = 0.7;

  /**
   * Takes a token of a customer from a node's own buckets.
   *
   * @param nodeCount the number of nodes that share the tolerance
   * @return the buckets without the token; none if this node has no token for the customer
   */
  public Option<QuotaBuckets> take(
      QuotaBuckets buckets, Customer customer, NodeId node, int nodeCount, long nowNanos) {
    if (!hasAllowance(customer, node, nodeCount)) {
      return Option.none();
    }
    return buckets.take(customer.id(), TOKENS_PER_SECOND, CAPACITY_TOKENS, nowNanos);
  }

  private boolean hasAllowance(Customer customer, NodeId node, int nodeCount) {
    double quota = customer.ratePerSecond() * windowSeconds + customer.burstRequests();
    double toleratedExcess = toleratedShare * quota + toleratedRequests;
    double tokensPerNode = CAPACITY_TOKENS + TOKENS_PER_SECOND * windowSeconds;
    double nodeFraction =
        ALLOCATED_FRACTION * toleratedExcess / (tokensPerNode * Math.max(1, nodeCount));
    return hashFraction(customer, node) < nodeFraction;
  }

  /**
   * Returns a number from zero up to one that is fixed for a customer and a node, and evenly
   * distributed over nodes.
   */
  private static double hashFraction(Customer customer, NodeId node) {
    int hash = (customer.id().value() + "/" + node.value()).hashCode() * 0x9E3779B9;
    return (hash >>> 8) / (double) (1 << 24);
  }
}
