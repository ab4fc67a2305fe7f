package org.clementinepost.policy.routing;

import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.LoadReport;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.policy.routing.RoutingEffect.LoadReplyIgnored.Cause;

/** Takes in the replies to load queries, and notes the hosts that do not reply. */
final class LoadReplyPolicy {
  private static final int MISSED_BEFORE_AVOIDED = 2;

  private LoadReplyPolicy() {}

  /** Returns why a reply has no effect; none if it answers an open query. */
  static Option<RoutingEffect> ignored(LoadQueryState load, RoutingEvent.LoadReplied replied) {
    long number = replied.reply().queryNumber();
    Option<SentQuery> query = load.queries().get(number);
    if (query.isEmpty()) {
      return ignored(replied, Cause.NO_OPEN_QUERY);
    }
    if (!query.get().endpoint().host().equals(replied.host())) {
      return ignored(replied, Cause.OTHER_HOST);
    }
    return ExpectedTime.isPlausible(replied.reply().report())
        ? Option.none()
        : ignored(replied, Cause.IMPLAUSIBLE);
  }

  private static Option<RoutingEffect> ignored(RoutingEvent.LoadReplied replied, Cause cause) {
    return Option.some(
        new RoutingEffect.LoadReplyIgnored(replied.host(), replied.reply().queryNumber(), cause));
  }

  static RoutingState withReply(
      RoutingState state, SentQuery query, RoutingEvent.LoadReplied replied, boolean sameDomain) {
    Endpoint endpoint = query.endpoint();
    long nowNanos = replied.nowNanos();
    LoadReport report = replied.reply().report();
    LoadQueryState load = state.load();
    LoadReports reports =
        load.reports()
            .withReply(
                replied.host(),
                endpoint.server(),
                query.kind(),
                new KnownReport(report, sameDomain, nowNanos, 0));
    RoundTrips roundTrips =
        load.roundTrips().withMeasured(endpoint.domain(), nowNanos - query.sentNanos());
    RoutingState next =
        state.with(load.with(reports).with(roundTrips).withoutQuery(replied.reply().queryNumber()));
    return report
        .refusal()
        .map(code -> Avoidance.ofFailure(Failure.of(code), nowNanos))
        .filter(Avoidance::capacityGone)
        .map(avoidance -> withAvoidance(next, endpoint, avoidance))
        .getOrElse(next);
  }

  /** Drops the open queries of a round, and avoids hosts that have missed several in a row. */
  static RoutingState withMissedQueries(
      RoutingState before, PendingPlacement pending, long nowNanos) {
    RoutingState state = before;
    Map<Long, SentQuery> queries = before.load().queries();
    for (long number : pending.openQueries()) {
      Option<SentQuery> query = queries.get(number);
      if (query.isEmpty()) {
        continue;
      }
      Endpoint endpoint = query.get().endpoint();
      LoadReports reports = state.load().reports().withMissedQuery(endpoint.host());
      state = state.with(state.load().with(reports).withoutQuery(number));
      if (reports.missedInRow(endpoint.host()) >= MISSED_BEFORE_AVOIDED) {
        Failure unreachable = Failure.of(ResultCode.PEER_UNREACHABLE);
        state = withAvoidance(state, endpoint, Avoidance.ofFailure(unreachable, nowNanos));
      }
    }
    return state;
  }

  private static RoutingState withAvoidance(
      RoutingState state, Endpoint endpoint, Avoidance avoidance) {
    ServiceId id = endpoint.service();
    ServiceState service = state.service(id);
    return state.with(
        id, service.withAvoidances(service.avoidances().put(endpoint.server(), avoidance)));
  }
}
