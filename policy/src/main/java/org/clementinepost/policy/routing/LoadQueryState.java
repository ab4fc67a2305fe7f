package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.clementinepost.api.ServiceId;

/**
 * The state of placements by load queries.
 *
 * @param reports the replies that are known
 * @param roundTrips the measured round-trip times
 * @param endpoints the endpoints of each service by failure domain
 * @param placements the placements that wait for replies
 * @param queries the queries that are not answered
 * @param nextNumber the next number of a placement or query
 */
record LoadQueryState(
    LoadReports reports,
    RoundTrips roundTrips,
    Map<ServiceId, DomainEndpoints> endpoints,
    Map<Long, PendingPlacement> placements,
    Map<Long, SentQuery> queries,
    long nextNumber) {
  static final LoadQueryState EMPTY =
      new LoadQueryState(
          LoadReports.NONE,
          RoundTrips.UNKNOWN,
          HashMap.empty(),
          HashMap.empty(),
          HashMap.empty(),
          1);

  LoadQueryState with(LoadReports next) {
    return new LoadQueryState(next, roundTrips, endpoints, placements, queries, nextNumber);
  }

  LoadQueryState with(RoundTrips next) {
    return new LoadQueryState(reports, next, endpoints, placements, queries, nextNumber);
  }

  LoadQueryState with(ServiceId service, DomainEndpoints next) {
    return new LoadQueryState(
        reports, roundTrips, endpoints.put(service, next), placements, queries, nextNumber);
  }

  LoadQueryState with(long number, PendingPlacement next) {
    return new LoadQueryState(
        reports, roundTrips, endpoints, placements.put(number, next), queries, nextNumber);
  }

  LoadQueryState withoutPlacement(long number) {
    return new LoadQueryState(
        reports, roundTrips, endpoints, placements.remove(number), queries, nextNumber);
  }

  /** Adds a query under the next number. */
  LoadQueryState withSent(SentQuery query) {
    return new LoadQueryState(
        reports, roundTrips, endpoints, placements, queries.put(nextNumber, query), nextNumber + 1);
  }

  LoadQueryState withoutQuery(long number) {
    return new LoadQueryState(
        reports, roundTrips, endpoints, placements, queries.remove(number), nextNumber);
  }

  LoadQueryState withNumberUsed() {
    return new LoadQueryState(reports, roundTrips, endpoints, placements, queries, nextNumber + 1);
  }
}
