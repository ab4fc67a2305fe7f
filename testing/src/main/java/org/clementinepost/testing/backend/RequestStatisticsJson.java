package org.clementinepost.testing.backend;

import java.util.Map;

/** The response to {@code GET /received}. */
record RequestStatisticsJson(
    String id,
    Map<String, Integer> runs,
    long totalRuns,
    long shed,
    long coldShed,
    long cancelled,
    long deadlinesPassed,
    long runsWhileDraining,
    int maxConcurrency,
    int maxConnections,
    boolean authorizationSeen) {

  static RequestStatisticsJson of(String id, RequestStatistics received) {
    return new RequestStatisticsJson(
        id,
        received.runsById().toJavaMap(),
        received.count(Counter.TOTAL_RUNS),
        received.count(Counter.SHED),
        received.count(Counter.COLD_SHED),
        received.count(Counter.CANCELLED),
        received.count(Counter.DEADLINES_PASSED),
        received.count(Counter.RUNS_WHILE_DRAINING),
        received.maxConcurrency(),
        received.maxConnections(),
        received.authorizationSeen());
  }
}
