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
public record Received(
    Map<String, Integer> runsById,
    Map<Counter, Long> counts,
    int maxConcurrency,
    int maxConnections,
    boolean authorizationSeen) {

  static Received none() {
    return new Received(HashMap.empty(), HashMap.empty(), 0, 0, false);
  }

  /** How often a request was begun. */
  public int runs(String requestId) {
    return runsById.get(requestId).getOrElse(0);
  }

  /** A counter's value. */
  public long count(Counter counter) {
    return counts.get(counter).getOrElse(0L);
  }

  Received plusOne(Counter counter) {
    return new Received(
        runsById,
        counts.put(counter, count(counter) + 1),
        maxConcurrency,
        maxConnections,
        authorizationSeen);
  }

  Received run(String requestId, int concurrency) {
    return new Received(
            requestId.isEmpty() ? runsById : runsById.put(requestId, runs(requestId) + 1),
            counts,
            Math.max(maxConcurrency, concurrency),
            maxConnections,
            authorizationSeen)
        .plusOne(Counter.TOTAL_RUNS);
  }

  Received seen(boolean authorization, int connections) {
    return new Received(
        runsById,
        counts,
        maxConcurrency,
        Math.max(maxConnections, connections),
        authorizationSeen || authorization);
  }
}
