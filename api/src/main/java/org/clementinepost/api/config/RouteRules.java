package org.clementinepost.api.config;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.RequestOptions;
import org.clementinepost.api.ServiceId;

/**
 * What a route says of its requests beyond where they go.
 *
 * @param host the host name that it is limited to; none matches every host
 * @param weightedServices how its requests are split among services; none sends all to the route's
 *     service
 * @param idempotent whether its requests may run more than once; none leaves it to the method
 * @param timeoutMillis the longest time that a caller is kept waiting; zero leaves it to the
 *     service
 * @param targetLatencyMillis the time within which an answer is worth most; zero without one
 * @param priority the rank of its requests; the smallest goes first
 * @param maxAttempts backend servers that one request may be sent to
 */
public record RouteRules(
    Option<String> host,
    Vector<WeightedService> weightedServices,
    Option<Boolean> idempotent,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    int maxAttempts) {

  /** The rules of a route that says no more than where its requests go. */
  public static final RouteRules DEFAULT =
      new RouteRules(
          Option.none(),
          Vector.empty(),
          Option.none(),
          0,
          0,
          RequestOptions.DEFAULT.priority(),
          RequestOptions.DEFAULT.maxAttempts());

  /**
   * Chooses the service of one request.
   *
   * @param whole the service of a route without parts
   * @param draw a number drawn evenly from zero up to one
   */
  ServiceId chooseService(ServiceId whole, double draw) {
    double left = draw * weightedServices.map(WeightedService::weight).sum().doubleValue();
    for (WeightedService part : weightedServices) {
      left -= part.weight();
      if (left < 0) {
        return part.service();
      }
    }
    return whole;
  }
}
