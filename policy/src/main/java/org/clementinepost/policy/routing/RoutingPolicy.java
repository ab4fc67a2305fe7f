package org.clementinepost.policy.routing;

import io.vavr.Tuple;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.HostReport;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Chooses the backend servers of requests, and ejects faulty ones.
 *
 * <p>A node uses it in both roles: as an ingress for its own attempts, and as the host that reports
 * on its backend servers.
 */
public final class RoutingPolicy implements Decision<RoutingState, RoutingEvent, RoutingEffect> {
  private final PlacementPolicy placement;
  private final QueriedPlacementPolicy queriedPlacement;
  private final boolean loadQueries;

  private RoutingPolicy(Builder builder) {
    this.placement =
        new PlacementPolicy(new DomainPreference(builder.domain), new PowerOfTwoChooser());
    this.queriedPlacement = new QueriedPlacementPolicy(builder.domain, placement);
    this.loadQueries = builder.loadQueries;
  }

  /** Returns a builder without a failure domain. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link RoutingPolicy}. */
  public static final class Builder {
    private Option<FailureDomainId> domain = Option.none();

    private boolean loadQueries;

    private Builder() {}

    /** Sets the failure domain of this node, whose endpoints are preferred. */
    public Builder domain(FailureDomainId own) {
      this.domain = Option.some(own);
      return this;
    }

    /** Sets whether hosts are queried for their load before a request is placed. */
    public Builder loadQueries(boolean enabled) {
      this.loadQueries = enabled;
      return this;
    }

    /** Returns the policy. */
    public RoutingPolicy build() {
      return new RoutingPolicy(this);
    }
  }

  @Override
  public Step<RoutingState, RoutingEffect> decide(RoutingState state, RoutingEvent event) {
    if (event instanceof RoutingEvent.Place place) {
      return loadQueries ? queriedPlacement.place(state, place) : placement.place(state, place);
    }
    if (event instanceof RoutingEvent.AttemptEnded ended) {
      return OutlierDetectionPolicy.onAttemptEnded(state, ended);
    }
    if (event instanceof RoutingEvent.HostedRequestEnded requestEnded) {
      return HostReportPolicy.onRequestEnded(state, requestEnded);
    }
    if (event instanceof RoutingEvent.HostedRequestStarted requestStarted) {
      return Step.to(HostReportPolicy.onRequestStarted(state, requestStarted));
    }
    if (event instanceof RoutingEvent.HostReported reported) {
      if (reported.report() == HostReport.IDLE) {
        return Step.to(IdleServerPolicy.onIdle(state, reported));
      }
      return OutlierDetectionPolicy.onHostReport(state, reported);
    }
    if (event instanceof RoutingEvent.EndpointsChanged changed) {
      return Step.to(onEndpointsChanged(state, changed));
    }
    if (event instanceof RoutingEvent.LoadReplied replied) {
      return queriedPlacement.onReply(state, replied);
    }
    if (event instanceof RoutingEvent.LoadQueriesTimedOut timedOut) {
      return queriedPlacement.onTimeout(state, timedOut);
    }
    if (event instanceof RoutingEvent.RetryLimitsChanged changed) {
      return Step.to(state.withRetryLimits(changed.limits()));
    }
    if (event instanceof RoutingEvent.Configured configured) {
      return Step.to(onConfigured(state, configured));
    }
    return onTick(state, (RoutingEvent.Tick) event);
  }

  private Step<RoutingState, RoutingEffect> onTick(RoutingState state, RoutingEvent.Tick tick) {
    Step<RoutingState, RoutingEffect> ingress =
        OutlierDetectionPolicy.onTick(state, tick.nowNanos());
    Step<RoutingState, RoutingEffect> host =
        HostReportPolicy.onTick(ingress.state(), tick.nowNanos());
    return Step.to(host.state(), ingress.effects().appendAll(host.effects()))
        .then(next -> queriedPlacement.onTick(next, tick.nowNanos()));
  }

  private static RoutingState onEndpointsChanged(
      RoutingState state, RoutingEvent.EndpointsChanged changed) {
    ServiceState service = state.service(changed.service());
    Map<BackendServerId, EndpointState> servers =
        changed.endpoints().toMap(Endpoint::server, endpoint -> endpointState(service, endpoint));
    ServiceState next = service.withServers(servers).withEndpointsRegrouped();
    return state.with(
        changed.service(), EjectionPolicy.readmitUntilFloorHolds(next, changed.nowNanos()));
  }

  private static EndpointState endpointState(ServiceState service, Endpoint endpoint) {
    return service
        .server(endpoint.server())
        .map(state -> state.with(endpoint))
        .getOrElse(() -> EndpointState.of(endpoint));
  }

  private static RoutingState onConfigured(RoutingState state, RoutingEvent.Configured configured) {
    RoutingState next = state.withConfiguredServices(configured.services());
    return next.withServices(
        state
            .services()
            .map(
                (id, service) ->
                    Tuple.of(
                        id,
                        EjectionPolicy.readmitUntilFloorHolds(
                            service.withFloorPercent(next.floorPercent(id)),
                            configured.nowNanos()))));
  }
}
