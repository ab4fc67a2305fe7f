package org.clementinepost.api.config;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.RequestOptions;
import org.clementinepost.api.ServiceId;

/**
 * Settings of a route beyond its path prefix and service.
 *
 * @param host the host name of the requests that it matches; none matches any host
 * @param trafficSplit the services among which requests are split; empty sends all requests to the
 *     route's service
 * @param idempotent whether its requests may safely run more than once; none decides by HTTP method
 * @param timeoutMillis the maximum time that a caller waits for a response; zero uses the timeout
 *     of the service
 * @param targetLatencyMillis the latency that a response should stay within; zero if there is no
 *     target
 * @param priority the priority of its requests; smaller values are served first
 * @param maxAttempts the maximum number of backend servers that a request may be sent to
 */
public record RouteRules(
    Option<String> host,
    Vector<WeightedService> trafficSplit,
    Option<Boolean> idempotent,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    int maxAttempts) {

  /** The rules of a route that sets none. */
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
   * Chooses the service of a request according to the weights.
   *
   * @param fallback the service to use if there are no weighted services
   * @param uniformRandom a random number, uniformly distributed from zero (inclusive) to one
   *     (exclusive)
   */
  ServiceId chooseService(ServiceId fallback, double uniformRandom) {
    double remaining =
        uniformRandom * trafficSplit.map(WeightedService::weight).sum().doubleValue();
    for (WeightedService candidate : trafficSplit) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return fallback;
  }
}
