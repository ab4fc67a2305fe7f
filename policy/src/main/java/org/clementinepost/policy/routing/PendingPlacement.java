package org.clementinepost.policy.routing;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;

/**
 * A placement that waits for replies to load queries.
 *
 * @param place the request to place
 * @param kind the kind of the request
 * @param round the current round of queries, starting at one
 * @param asked the endpoints considered so far, whether queried or known from a recent reply
 * @param idle the endpoint whose host told that its server is idle
 * @param openQueries the queries of the current round that are not answered
 * @param queries the number of queries sent
 * @param replies the number of queries answered
 * @param deadlineNanos when the current round ends without the missing replies
 */
record PendingPlacement(
    RoutingEvent.Place place,
    LoadQueryKind kind,
    int round,
    Vector<Endpoint> asked,
    Option<Endpoint> idle,
    Set<Long> openQueries,
    int queries,
    int replies,
    long deadlineNanos) {
  static PendingPlacement of(RoutingEvent.Place place, Option<Endpoint> idle) {
    return new PendingPlacement(
        place,
        LoadQueryKind.of(place.head()),
        0,
        Vector.empty(),
        idle,
        HashSet.empty(),
        0,
        0,
        place.nowNanos());
  }

  PendingPlacement withRound(Vector<Endpoint> added, Set<Long> sent, long nextDeadlineNanos) {
    return new PendingPlacement(
        place,
        kind,
        round + 1,
        asked.appendAll(added),
        idle,
        sent,
        queries + sent.size(),
        replies,
        nextDeadlineNanos);
  }

  PendingPlacement withoutOpenQuery(long number) {
    return new PendingPlacement(
        place,
        kind,
        round,
        asked,
        idle,
        openQueries.remove(number),
        queries,
        replies + 1,
        deadlineNanos);
  }
}
