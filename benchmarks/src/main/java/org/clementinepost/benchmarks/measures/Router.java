package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import java.util.function.Function;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.routing.RoutingEffect;
import org.clementinepost.policy.routing.RoutingEvent;
import org.clementinepost.policy.routing.RoutingPolicy;
import org.clementinepost.policy.routing.RoutingState;

/** Holds a routing policy together with its current state. */
final class Router {
  /** A routing policy under test; the factory makes the router of a node in a failure domain. */
  record Variant(String name, Function<FailureDomainId, Router> factory) {}

  static final Variant CLEMENTINEPOST =
      new Variant(
          "clementinepost",
          domain -> of(RoutingState.empty(), RoutingPolicy.builder().domain(domain).build()));
  static final Vector<Variant> BASELINES =
      Vector.of(
          new Variant("random", domain -> of(BaselineState.empty(), BaselinePolicy.RANDOM)),
          new Variant(
              "round-robin", domain -> of(BaselineState.empty(), BaselinePolicy.ROUND_ROBIN)),
          new Variant(
              "least-outstanding",
              domain -> of(BaselineState.empty(), BaselinePolicy.LEAST_OUTSTANDING)));

  private Function<RoutingEvent, Step<Router, RoutingEffect>> transition;

  private Router(Function<RoutingEvent, Step<Router, RoutingEffect>> transition) {
    this.transition = transition;
  }

  static <S> Router of(S state, Decision<S, RoutingEvent, RoutingEffect> decision) {
    return new Router(
        event -> {
          Step<S, RoutingEffect> step = decision.decide(state, event);
          return Step.to(of(step.state(), decision), step.effects());
        });
  }

  Vector<RoutingEffect> decide(RoutingEvent event) {
    Step<Router, RoutingEffect> step = transition.apply(event);
    transition = step.state().transition;
    return step.effects();
  }
}
