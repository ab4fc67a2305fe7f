package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.routing.Placement;
import org.clementinepost.policy.routing.PlacementBasis;
import org.clementinepost.policy.routing.RoutingEffect;
import org.clementinepost.policy.routing.RoutingEvent;

/** Baseline for comparison: load balancing without outlier ejection and without a retry budget. */
record BaselinePolicy(Chooser chooser)
    implements Decision<BaselineState, RoutingEvent, RoutingEffect> {

  /** The load-balancing algorithm: chooses one of the candidates. */
  @FunctionalInterface
  interface Chooser {
    Endpoint choose(BaselineState state, Vector<Endpoint> candidates, long random);
  }

  static final BaselinePolicy RANDOM =
      new BaselinePolicy(
          (state, candidates, random) ->
              candidates.get((int) Math.floorMod(random, (long) candidates.size())));
  static final BaselinePolicy ROUND_ROBIN =
      new BaselinePolicy(
          (state, candidates, random) ->
              candidates.get(Math.floorMod(state.roundRobinIndex(), candidates.size())));
  static final BaselinePolicy LEAST_OUTSTANDING =
      new BaselinePolicy(
          (state, candidates, random) ->
              rotateRandomly(candidates, random).minBy(state::outstandingRequestsTo).get());

  /** Rotates the candidates by a random offset, so that ties are broken at random. */
  private static Vector<Endpoint> rotateRandomly(Vector<Endpoint> candidates, long random) {
    return candidates.rotateLeft((int) Math.floorMod(random, (long) candidates.size()));
  }

  @Override
  public Step<BaselineState, RoutingEffect> decide(BaselineState state, RoutingEvent event) {
    if (event instanceof RoutingEvent.Place place) {
      return place(state, place);
    }
    if (event instanceof RoutingEvent.AttemptEnded ended) {
      return Step.to(state.withOutstandingChange(ended.endpoint(), -1));
    }
    if (event instanceof RoutingEvent.EndpointsChanged changed) {
      return Step.to(
          new BaselineState(
              changed.endpoints(), state.outstandingRequests(), state.roundRobinIndex()));
    }
    if (event instanceof RoutingEvent.HostedRequestEnded hostedEnded) {
      return Step.to(
          state, new RoutingEffect.ReplyWithReport(HostReport.HEALTHY, hostedEnded.reply()));
    }
    return Step.to(state);
  }

  private Step<BaselineState, RoutingEffect> place(BaselineState state, RoutingEvent.Place place) {
    Vector<Endpoint> candidates =
        state.endpoints().reject(endpoint -> place.triedServers().contains(endpoint.server()));
    if (candidates.isEmpty()) {
      Failure failure = Failure.of(ResultCode.NO_BACKEND_SERVER);
      return Step.to(
          state,
          new RoutingEffect.Placed(
              place.head(), Either.left(failure), basis(state, candidates), place.reply()));
    }
    Endpoint chosen = chooser.choose(state, candidates, place.random());
    BaselineState next = state.withOutstandingChange(chosen, 1);
    return Step.to(
        new BaselineState(
            next.endpoints(), next.outstandingRequests(), state.roundRobinIndex() + 1),
        new RoutingEffect.Placed(
            place.head(),
            Either.right(new Placement(chosen)),
            basis(state, candidates),
            place.reply()));
  }

  private static PlacementBasis basis(BaselineState state, Vector<Endpoint> candidates) {
    return new PlacementBasis("baseline", state.endpoints().size(), 0, candidates.size());
  }
}
