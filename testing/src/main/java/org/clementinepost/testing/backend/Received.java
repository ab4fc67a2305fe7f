package org.clementinepost.testing.backend;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * What a backend server has seen so far.
 *
 * @param runsById how often each request was begun, by its id
 * @param totalRuns the requests begun
 * @param shed the requests refused because no slot was free
 * @param coldShed the requests refused because the cold start bears fewer
 * @param cancelled the requests whose connection closed before the answer
 * @param deadlinesPassed the requests given up at their deadline
 * @param runsWhileDraining the requests begun after draining was announced
 * @param maxConcurrency the most requests that ran at once
 * @param maxConnections the most connections open at once
 * @param authorizationSeen whether any request carried a header field Authorization
 */
public record Received(
    Map<String, Integer> runsById,
    long totalRuns,
    long shed,
    long coldShed,
    long cancelled,
    long deadlinesPassed,
    long runsWhileDraining,
    int maxConcurrency,
    int maxConnections,
    boolean authorizationSeen) {

  static Received none() {
    return new Received(HashMap.empty(), 0, 0, 0, 0, 0, 0, 0, 0, false);
  }

  /** How often a request was begun. */
  public int runs(String requestId) {
    return runsById.get(requestId).getOrElse(0);
  }

  Received run(String requestId, int concurrency, boolean draining, boolean deadlinePassed) {
    return new Received(
        requestId.isEmpty() ? runsById : runsById.put(requestId, runs(requestId) + 1),
        totalRuns + 1,
        shed,
        coldShed,
        cancelled,
        deadlinesPassed + (deadlinePassed ? 1 : 0),
        runsWhileDraining + (draining ? 1 : 0),
        Math.max(maxConcurrency, concurrency),
        maxConnections,
        authorizationSeen);
  }

  Received refused(boolean cold) {
    return new Received(
        runsById,
        totalRuns,
        shed + (cold ? 0 : 1),
        coldShed + (cold ? 1 : 0),
        cancelled,
        deadlinesPassed,
        runsWhileDraining,
        maxConcurrency,
        maxConnections,
        authorizationSeen);
  }

  Received withCancelled() {
    return new Received(
        runsById,
        totalRuns,
        shed,
        coldShed,
        cancelled + 1,
        deadlinesPassed,
        runsWhileDraining,
        maxConcurrency,
        maxConnections,
        authorizationSeen);
  }

  Received seen(boolean authorization, int connections) {
    return new Received(
        runsById,
        totalRuns,
        shed,
        coldShed,
        cancelled,
        deadlinesPassed,
        runsWhileDraining,
        maxConcurrency,
        Math.max(maxConnections, connections),
        authorizationSeen || authorization);
  }
}
