package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Snapshot;

/**
 * The customers as the newest configuration has them that the quota leader has heard of.
 *
 * <p>A leader that is cut off from the store keeps issuing tokens until its lease ends, and its
 * configuration may be older than that of the nodes that request them. Each request tells the
 * customer's limit and the version that it is from, and the newer one counts.
 *
 * @param snapshot the leader's own configuration
 * @param learned the customers that requests told from a newer configuration
 */
public record KnownCustomers(Snapshot snapshot, Map<CustomerId, LearnedCustomer> learned) {
  /**
   * A customer that a token request told.
   *
   * @param configurationVersion the version of the configuration that the customer is from
   */
  record LearnedCustomer(Customer customer, long configurationVersion) {}

  /** Returns the customers of a leader without a configuration. */
  public static KnownCustomers none() {
    return new KnownCustomers(Snapshot.empty(), HashMap.empty());
  }

  /** Replaces the leader's own configuration, and forgets what was learned from older ones. */
  public KnownCustomers withSnapshot(Snapshot newer) {
    return new KnownCustomers(
        newer, learned.filterValues(known -> known.configurationVersion() > newer.version()));
  }

  /** Learns a customer of another node's configuration, unless a version as new is known. */
  public KnownCustomers learn(Customer customer, long configurationVersion) {
    long knownVersion =
        learned
            .get(customer.id())
            .map(LearnedCustomer::configurationVersion)
            .getOrElse(snapshot.version());
    if (configurationVersion <= knownVersion) {
      return this;
    }
    return new KnownCustomers(
        snapshot, learned.put(customer.id(), new LearnedCustomer(customer, configurationVersion)));
  }

  /**
   * Returns the newest state of a customer.
   *
   * @param asRequested the customer as the requester has it, which counts if no configuration known
   *     here has the customer: it has been removed since, and may still be served for a moment
   */
  public Customer newest(Customer asRequested) {
    return learned
        .get(asRequested.id())
        .map(LearnedCustomer::customer)
        .orElse(() -> snapshot.customers().get(asRequested.id()))
        .getOrElse(asRequested);
  }
}
