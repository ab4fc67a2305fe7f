package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.NodeId;

/**
 * The latest replies to load queries, and the hosts that did not reply.
 *
 * @param byServer the reports on each backend server, by kind of request
 * @param missedInRow the number of consecutive queries that each host has not answered
 */
record LoadReports(
    Map<BackendServerId, Map<LoadQueryKind, KnownReport>> byServer,
    Map<NodeId, Integer> missedInRow) {
  static final LoadReports NONE = new LoadReports(HashMap.empty(), HashMap.empty());

  /** Returns the report on a server for a kind of request, if it is recent enough to be used. */
  Option<KnownReport> fresh(BackendServerId server, LoadQueryKind kind, long nowNanos) {
    return byServer
        .get(server)
        .flatMap(reports -> reports.get(kind))
        .filter(known -> known.isFresh(nowNanos));
  }

  LoadReports withReply(
      NodeId host, BackendServerId server, LoadQueryKind kind, KnownReport known) {
    Map<LoadQueryKind, KnownReport> reports = byServer.getOrElse(server, HashMap.empty());
    return new LoadReports(
        byServer.put(server, reports.put(kind, known)), missedInRow.remove(host));
  }

  LoadReports withMissedQuery(NodeId host) {
    return new LoadReports(byServer, missedInRow.put(host, missedInRow(host) + 1));
  }

  int missedInRow(NodeId host) {
    return missedInRow.getOrElse(host, 0);
  }

  /** Counts a request placed on a server in the reports on it. */
  LoadReports withRequestPlaced(BackendServerId server) {
    return byServer
        .get(server)
        .map(reports -> reports.mapValues(KnownReport::withRequestPlaced))
        .map(reports -> new LoadReports(byServer.put(server, reports), missedInRow))
        .getOrElse(this);
  }

  LoadReports withoutExpired(long nowNanos) {
    if (byServer.isEmpty()) {
      return this;
    }
    Map<BackendServerId, Map<LoadQueryKind, KnownReport>> fresh =
        byServer
            .mapValues(reports -> reports.filterValues(known -> known.isFresh(nowNanos)))
            .filterValues(Map::nonEmpty);
    return new LoadReports(fresh, missedInRow);
  }
}
