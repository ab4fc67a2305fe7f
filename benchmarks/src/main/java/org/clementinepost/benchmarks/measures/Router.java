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

/** A routing decision and its state between the events. */
final class Router {
  /** Makes the router of a node in a failure domain. */
  record Kind(String name, Function<FailureDomainId, Router> factory) {}

  static final Kind CURRENT =
      new Kind(
          "clementinepost",
          domain -> of(RoutingState.empty(), RoutingPolicy.builder().domain(domain).build()));
  static final Vector<Kind> BASELINES =
      Vector.of(
          new Kind("random", domain -> of(BaselineState.empty(), BaselinePolicy.RANDOM)),
          new Kind("round-robin", domain -> of(BaselineState.empty(), BaselinePolicy.ROUND_ROBIN)),
          new Kind(
              "least-outstanding",
              domain -> of(BaselineState.empty(), BaselinePolicy.LEAST_OUTSTANDING)));

  private Function<RoutingEvent, Step<Router, RoutingEffect>> next;

  private Router(Function<RoutingEvent, Step<Router, RoutingEffect>> next) {
    this.next = next;
  }

  static <S> Router of(S state, Decision<S, RoutingEvent, RoutingEffect> decision) {
    return new Router(
        event -> {
          Step<S, RoutingEffect> step = decision.decide(state, event);
          return Step.to(of(step.state(), decision), step.effects());
        });
  }

  Vector<RoutingEffect> decide(RoutingEvent event) {
    Step<Router, RoutingEffect> step = next.apply(event);
    next = step.state().next;
    return step.effects();
  }
}
