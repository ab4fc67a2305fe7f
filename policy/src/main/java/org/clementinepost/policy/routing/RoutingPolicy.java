package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Chooses the less loaded of two endpoints drawn at random.
 *
 * <p>Two draws spread load nearly as well as a look at all endpoints, and do not send every ingress
 * node to the same idle backend server at once.
 */
public final class RoutingPolicy implements Decision<RoutingState, RoutingEvent, RoutingEffect> {
  @Override
  public Step<RoutingState, RoutingEffect> decide(RoutingState state, RoutingEvent event) {
    if (event instanceof RoutingEvent.EndpointsChanged changed) {
      return Step.to(
          new RoutingState(
              state.endpoints().put(changed.service(), changed.endpoints()), state.outstanding()));
    }
    if (event instanceof RoutingEvent.Place place) {
      return place(state, place);
    }
    return Step.to(ended(state, (RoutingEvent.Ended) event));
  }

  private static Step<RoutingState, RoutingEffect> place(
      RoutingState state, RoutingEvent.Place place) {
    Vector<Endpoint> candidates =
        state
            .endpoints()
            .getOrElse(place.head().service(), Vector.empty())
            .reject(endpoint -> place.tried().contains(endpoint.server()));
    if (candidates.isEmpty()) {
      ResultCode code =
          place.tried().isEmpty() ? ResultCode.NO_BACKEND_SERVER : ResultCode.RETRIES_EXHAUSTED;
      Failure failure = Failure.of(code, place.head().service().value());
      return Step.to(
          state,
          new RoutingEffect.Placed(
              place.head(), Either.left(failure), "no-candidate", place.reply()));
    }
    Endpoint chosen = lessLoaded(state, candidates, place.random());
    RoutingState next = withOutstanding(state, chosen, 1);
    return Step.to(
        next,
        new RoutingEffect.Placed(
            place.head(), Either.right(chosen), "less-loaded-of-two", place.reply()));
  }

  private static Endpoint lessLoaded(RoutingState state, Vector<Endpoint> candidates, long random) {
    int size = candidates.size();
    Endpoint first = candidates.get((int) Math.floorMod(random, (long) size));
    Endpoint second = candidates.get((int) Math.floorMod(random >>> 32, (long) size));
    long firstLoad = (long) state.outstandingOf(first) * second.slots();
    long secondLoad = (long) state.outstandingOf(second) * first.slots();
    return firstLoad <= secondLoad ? first : second;
  }

  private static RoutingState ended(RoutingState state, RoutingEvent.Ended ended) {
    return withOutstanding(state, ended.endpoint(), -1);
  }

  private static RoutingState withOutstanding(RoutingState state, Endpoint endpoint, int change) {
    int next = state.outstandingOf(endpoint) + change;
    return new RoutingState(
        state.endpoints(),
        next <= 0
            ? state.outstanding().remove(endpoint.server())
            : state.outstanding().put(endpoint.server(), next));
  }
}
