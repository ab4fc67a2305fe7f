package org.clementinepost.policy.routing;

import io.vavr.Tuple2;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Step;

/**
 * Places requests by the load that hosts report in reply to queries.
 *
 * <p>A placement waits for at most two rounds of queries, each with a time limit. {@link
 * LoadQueryPolicy} chooses whom to ask, {@link ServerChoicePolicy} chooses among the replies, and
 * {@link LoadReplyPolicy} keeps the replies. Trial requests, refusals and requests without any
 * usable reply are left to {@link PlacementPolicy}.
 */
final class QueriedPlacementPolicy {
  private static final String CHOSEN_REASON = "queried";
  private static final String IDLE_REASON = "queried-idle";
  private static final long ROUND_LIMIT_MILLIS = 30;

  /** A request with less time than this is placed without queries. */
  private static final long MIN_TIMEOUT_MILLIS = 100;

  /** Bounds what a node holds when replies stay away under load. */
  private static final int MAX_PENDING_PLACEMENTS = 64;

  private final Option<FailureDomainId> ownDomain;
  private final PlacementPolicy placement;

  QueriedPlacementPolicy(Option<FailureDomainId> ownDomain, PlacementPolicy placement) {
    this.ownDomain = ownDomain;
    this.placement = placement;
  }

  /** Places a request at once, or sends the first round of queries for it. */
  Step<RoutingState, RoutingEffect> place(RoutingState before, RoutingEvent.Place place) {
    ServiceId id = place.head().service();
    boolean queried =
        before.load().placements().size() < MAX_PENDING_PLACEMENTS
            && place.head().timeoutMillis() >= MIN_TIMEOUT_MILLIS
            && placement.choosesServer(before.service(id), place);
    if (!queried) {
      return placement.place(before, place);
    }
    RoutingState state = withEndpointsSplit(before, id);
    ServiceState service = state.service(id);
    Option<Endpoint> idle = LoadQueryPolicy.idleServer(service, place);
    Vector<Endpoint> servers =
        LoadQueryPolicy.firstRound(service, endpoints(state, id), place, idle);
    if (servers.isEmpty()) {
      return placement.place(state, place);
    }
    RoutingState next =
        idle.map(
                endpoint ->
                    state.with(
                        id,
                        service.withIdleServers(service.idleServers().remove(endpoint.server()))))
            .getOrElse(state);
    long number = next.load().nextNumber();
    return startRound(
        next.with(next.load().withNumberUsed()),
        number,
        PendingPlacement.of(place, idle),
        servers,
        place.nowNanos());
  }

  /** Takes in a reply, and places the request if it was the last that its round waits for. */
  Step<RoutingState, RoutingEffect> onReply(RoutingState state, RoutingEvent.LoadReplied replied) {
    Option<RoutingEffect> ignored = LoadReplyPolicy.ignored(state.load(), replied);
    if (ignored.isDefined()) {
      return Step.to(state, ignored.get());
    }
    long queryNumber = replied.reply().queryNumber();
    SentQuery query = state.load().queries().get(queryNumber).get();
    boolean sameDomain = ownDomain.contains(query.endpoint().domain());
    RoutingState next = LoadReplyPolicy.withReply(state, query, replied, sameDomain);
    Option<PendingPlacement> pending = next.load().placements().get(query.placement());
    if (pending.isEmpty()) {
      return Step.to(next);
    }
    PendingPlacement waiting = pending.get().withoutOpenQuery(queryNumber);
    RoutingState updated = next.with(next.load().with(query.placement(), waiting));
    return waiting.openQueries().isEmpty()
        ? endRound(updated, query.placement(), waiting, replied.nowNanos())
        : Step.to(updated);
  }

  /** Ends a round at its time limit; a round that has ended already is left alone. */
  Step<RoutingState, RoutingEffect> onTimeout(
      RoutingState state, RoutingEvent.LoadQueriesTimedOut timedOut) {
    Option<PendingPlacement> pending =
        state
            .load()
            .placements()
            .get(timedOut.placement())
            .filter(waiting -> waiting.round() == timedOut.round());
    return pending
        .map(waiting -> endRound(state, timedOut.placement(), waiting, timedOut.nowNanos()))
        .getOrElse(() -> Step.to(state));
  }

  /** Drops old replies, and ends rounds whose timer message was lost. */
  Step<RoutingState, RoutingEffect> onTick(RoutingState state, long nowNanos) {
    LoadQueryState load = state.load();
    Step<RoutingState, RoutingEffect> step =
        Step.to(state.with(load.with(load.reports().withoutExpired(nowNanos))));
    for (Tuple2<Long, PendingPlacement> entry : load.placements()) {
      if (nowNanos >= entry._2.deadlineNanos()) {
        step = step.then(next -> endRound(next, entry._1, entry._2, nowNanos));
      }
    }
    return step;
  }

  /** Queries the hosts of servers without a recent reply; ends the round if there are none. */
  private Step<RoutingState, RoutingEffect> startRound(
      RoutingState state,
      long number,
      PendingPlacement pending,
      Vector<Endpoint> servers,
      long nowNanos) {
    LoadQueryState load = state.load();
    Set<Long> sent = HashSet.empty();
    Vector<RoutingEffect> effects = Vector.empty();
    for (Endpoint endpoint : servers) {
      if (load.reports().fresh(endpoint.server(), pending.kind(), nowNanos).isDefined()) {
        continue;
      }
      long queryNumber = load.nextNumber();
      boolean sameDomain = ownDomain.contains(endpoint.domain());
      load = load.withSent(new SentQuery(number, endpoint, pending.kind(), nowNanos));
      sent = sent.add(queryNumber);
      effects =
          effects.append(
              new RoutingEffect.QueryLoad(
                  endpoint.host(),
                  pending.kind().query(queryNumber, endpoint.server(), sameDomain)));
    }
    long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(ROUND_LIMIT_MILLIS);
    PendingPlacement waiting = pending.withRound(servers, sent, deadlineNanos);
    RoutingState next = state.with(load.with(number, waiting));
    if (sent.isEmpty()) {
      return endRound(next, number, waiting, nowNanos);
    }
    return Step.to(
        next,
        effects.append(
            new RoutingEffect.ScheduleQueryTimeout(number, waiting.round(), ROUND_LIMIT_MILLIS)));
  }

  private Step<RoutingState, RoutingEffect> endRound(
      RoutingState before, long number, PendingPlacement pending, long nowNanos) {
    RoutingState state = LoadReplyPolicy.withMissedQueries(before, pending, nowNanos);
    Vector<ServerChoicePolicy.Answer> answers = answers(state, pending, nowNanos);
    RoundTrips roundTrips = state.load().roundTrips();
    if (pending.round() == 1) {
      Option<ServerChoice> free =
          ServerChoicePolicy.chooseFreeSlot(answers, roundTrips, pending.idle(), nowNanos);
      if (free.isDefined()) {
        return finish(state, number, pending, free, nowNanos);
      }
      ServiceId id = pending.place().head().service();
      RoutingState split = withEndpointsSplit(state, id);
      Vector<Endpoint> more =
          LoadQueryPolicy.secondRound(split.service(id), endpoints(split, id), pending, nowNanos);
      if (!more.isEmpty()) {
        return startRound(split, number, pending, more, nowNanos);
      }
    }
    return finish(
        state,
        number,
        pending,
        ServerChoicePolicy.choose(
            answers, roundTrips, pending.kind().targetLatencyMillis(), nowNanos),
        nowNanos);
  }

  /** Returns the replies on those servers that are still in use at the host that was asked. */
  private static Vector<ServerChoicePolicy.Answer> answers(
      RoutingState state, PendingPlacement pending, long nowNanos) {
    ServiceState service = state.service(pending.place().head().service());
    LoadReports reports = state.load().reports();
    return pending
        .asked()
        .filter(
            endpoint ->
                service
                    .server(endpoint.server())
                    .exists(s -> s.isInUse() && s.endpoint().host().equals(endpoint.host())))
        .flatMap(
            endpoint ->
                reports
                    .fresh(endpoint.server(), pending.kind(), nowNanos)
                    .map(known -> new ServerChoicePolicy.Answer(endpoint, known)));
  }

  private Step<RoutingState, RoutingEffect> finish(
      RoutingState before,
      long number,
      PendingPlacement pending,
      Option<ServerChoice> choice,
      long nowNanos) {
    RoutingState state = before.with(before.load().withoutPlacement(number));
    RoutingEvent.Place place = pending.place().at(nowNanos);
    if (choice.isEmpty()) {
      QueryBasis basis = QueryBasis.unused(pending.queries(), pending.replies());
      return withBasis(placement.place(state, withoutSilent(state, pending, place)), basis);
    }
    ServerChoice chosen = choice.get();
    Option<AdmissionMode> mode =
        place.head().options().admissionMode() == AdmissionMode.ANY_SERVER
            ? Option.some(AdmissionMode.ANY_SERVER)
            : chosen.admissionMode();
    ServiceState service = state.service(place.head().service());
    String reason = pending.idle().contains(chosen.endpoint()) ? IDLE_REASON : CHOSEN_REASON;
    PlacementBasis basis =
        PlacementBasis.of(service, reason, pending.asked().size())
            .with(
                new QueryBasis(
                    pending.queries(),
                    pending.replies(),
                    chosen.leavesDomain(),
                    chosen.waitMicros(),
                    chosen.savedMicros(),
                    Option.some(chosen.offer())));
    LoadReports reports = state.load().reports().withRequestPlaced(chosen.endpoint().server());
    return placement.placeOn(
        state.with(state.load().with(reports)),
        place,
        new Placement(chosen.endpoint(), mode),
        basis);
  }

  /** Leaves out the servers whose hosts did not reply, if other servers are in use and untried. */
  private static RoutingEvent.Place withoutSilent(
      RoutingState state, PendingPlacement pending, RoutingEvent.Place place) {
    Set<BackendServerId> excluded =
        place
            .triedServers()
            .addAll(
                pending
                    .asked()
                    .filter(
                        endpoint ->
                            state
                                .load()
                                .reports()
                                .fresh(endpoint.server(), pending.kind(), place.nowNanos())
                                .isEmpty())
                    .map(Endpoint::server));
    RoutingEvent.Place restricted = place.withTriedServers(excluded);
    ServiceState service = state.service(place.head().service());
    boolean othersLeft =
        service.inUse().exists(endpoint -> LoadQueryPolicy.isUsable(service, endpoint, restricted));
    return othersLeft ? restricted : place;
  }

  private static Step<RoutingState, RoutingEffect> withBasis(
      Step<RoutingState, RoutingEffect> step, QueryBasis basis) {
    return Step.to(
        step.state(),
        step.effects()
            .map(
                effect ->
                    effect instanceof RoutingEffect.Placed placed ? placed.with(basis) : effect));
  }

  private RoutingState withEndpointsSplit(RoutingState state, ServiceId id) {
    Vector<Endpoint> inUse = state.service(id).inUse();
    return endpoints(state, id).inUse().equals(inUse)
        ? state
        : state.with(state.load().with(id, DomainEndpoints.of(inUse, ownDomain)));
  }

  private static DomainEndpoints endpoints(RoutingState state, ServiceId id) {
    return state.load().endpoints().getOrElse(id, DomainEndpoints.NONE);
  }
}
