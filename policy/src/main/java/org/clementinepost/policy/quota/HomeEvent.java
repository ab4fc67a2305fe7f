package org.clementinepost.policy.quota;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.peer.QuotaMessage;

/** What the decision of a home is told. */
public sealed interface HomeEvent {
  /**
   * A holder asks for tokens.
   *
   * @param from the holder
   * @param incarnation the holder's incarnation
   * @param asks what it asks for
   * @param tenures the partitions that this node is the home of
   * @param customers the rates and bursts in force
   * @param nowNanos the time at which the asks are taken, after any wait
   */
  record Asked(
      NodeId from,
      long incarnation,
      Vector<QuotaMessage.Ask> asks,
      Tenures tenures,
      Map<CustomerId, Customer> customers,
      long nowNanos)
      implements HomeEvent {}

  /** Time has passed; buckets that a fresh one can stand for are dropped. */
  record Tick(Tenures tenures, Map<CustomerId, Customer> customers, long nowNanos)
      implements HomeEvent {}
}
