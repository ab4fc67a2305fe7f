package org.clementinepost.policy.quota;

import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.config.Customer;

/**
 * What a node may let through on its own while the keeper of the quota cannot be reached.
 *
 * <p>All that the nodes let through in this way stays within the tolerance that the fleet has above
 * a customer's rate and burst, however many of them are cut off. Where the tolerance is too small
 * for a token at each node, some nodes have none.
 *
 * @param toleratedShare the part of a customer's requests that the fleet may exceed its quota by
 * @param toleratedRequests the requests that it may exceed it by besides
 * @param windowSeconds the time over which both are counted
 */
public record EmergencyAllowance(
    double toleratedShare, double toleratedRequests, double windowSeconds) {
  private static final double CAPACITY_TOKENS = 1;
  private static final double TOKENS_PER_SECOND = 1.0 / 15;

  /** The part of the tolerance that is given away here; requests in flight take the rest. */
  private static final double ALLOCATED_FRACTION = 0.7;

  /** Takes a token of a customer at one node, out of the number of nodes that there are. */
  public Option<QuotaBuckets> take(
      QuotaBuckets buckets, Customer customer, NodeId node, int nodes, long nowNanos) {
    if (!hasAllowance(customer, node, nodes)) {
      return Option.none();
    }
    return buckets.take(customer.id(), TOKENS_PER_SECOND, CAPACITY_TOKENS, nowNanos);
  }

  private boolean hasAllowance(Customer customer, NodeId node, int nodes) {
    double quota = customer.ratePerSecond() * windowSeconds + customer.burstRequests();
    double tolerated = toleratedShare * quota + toleratedRequests;
    double perNode = CAPACITY_TOKENS + TOKENS_PER_SECOND * windowSeconds;
    double share = ALLOCATED_FRACTION * tolerated / (perNode * Math.max(1, nodes));
    return hashFraction(customer, node) < share;
  }

  /** The same for a customer and a node at all times, and evenly spread over nodes. */
  private static double hashFraction(Customer customer, NodeId node) {
    int hash = (customer.id().value() + "/" + node.value()).hashCode() * 0x9E3779B9;
    return (hash >>> 8) / (double) (1 << 24);
  }
}
