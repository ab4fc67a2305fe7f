package org.clementinepost.testing.backend;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * What a backend server has seen so far.
 *
 * <p>It remembers the id of every request, so that a second run of one is found however late it
 * comes; its memory grows with the test.
 *
 * @param runsById how often each request was begun, by its id
 * @param counts the counters that are not zero
 * @param maxConcurrency the most requests that ran at once
 * @param maxConnections the most connections open at once
 * @param authorizationSeen whether any request carried a header field Authorization
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

  /** How often a request was begun. */
  public int runs(String requestId) {
    return runsById.get(requestId).getOrElse(0);
  }

  /** A counter's value. */
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

  RequestStatistics withObservation(boolean authorization, int connections) {
    return new RequestStatistics(
        runsById,
        counts,
        maxConcurrency,
        Math.max(maxConnections, connections),
        authorizationSeen || authorization);
  }
}
