package org.clementinepost.testing.backend;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * Statistics of the requests that a backend server stand-in has received.
 *
 * <p>The ids of all requests are kept, so that a duplicate run is found however late it occurs.
 * Memory use grows with the number of requests.
 *
 * @param runsById how often each request was started, by its id
 * @param counts the values of the counters; a missing counter is zero
 * @param maxConcurrency the highest number of concurrent requests
 * @param maxConnections the highest number of open connections
 * @param authorizationSeen whether any request had an {@code Authorization} header
 */
public record RequestStatistics(
    Map<String, Integer> runsById,
    Map<Counter, Long> counts,
    int maxConcurrency,
    int maxConnections,
    boolean authorizationSeen) {

  static RequestStatistics empty() {
    return new RequestStatistics(HashMap.empty(), HashMap.empty(), 0, 0, false);
  }

  /** Returns how often a request was started. */
  public int runs(String requestId) {
    return runsById.get(requestId).getOrElse(0);
  }

  /** Returns the value of a counter. */
  public long count(Counter counter) {
    return counts.get(counter).getOrElse(0L);
  }

  RequestStatistics increment(Counter counter) {
    return new RequestStatistics(
        runsById,
        counts.put(counter, count(counter) + 1),
        maxConcurrency,
        maxConnections,
        authorizationSeen);
  }

  RequestStatistics withRun(String requestId, int concurrency) {
    return new RequestStatistics(
            requestId.isEmpty() ? runsById : runsById.put(requestId, runs(requestId) + 1),
            counts,
            Math.max(maxConcurrency, concurrency),
            maxConnections,
            authorizationSeen)
        .increment(Counter.TOTAL_RUNS);
  }

  RequestStatistics withObservation(boolean hasAuthorization, int connections) {
    return new RequestStatistics(
        runsById,
        counts,
        maxConcurrency,
        Math.max(maxConnections, connections),
        authorizationSeen || hasAuthorization);
  }
}
