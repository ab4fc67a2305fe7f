package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.clementinepost.api.Endpoint;

/**
 * Chooses the backend servers whose hosts are queried for a placement.
 *
 * <p>They are drawn at random, so that ingress nodes that place requests at the same time ask
 * different hosts.
 */
final class LoadQueryPolicy {
  private static final int FIRST_ROUND_SERVERS = 3;
  private static final int SECOND_ROUND_SERVERS = 4;
  private static final int SECOND_ROUND_OWN_SERVERS = 2;

  /** The maximum number of endpoints examined in a draw, whatever the size of the service. */
  private static final int MAX_PROBES = 24;

  private LoadQueryPolicy() {}

  /** Returns an idle server that may be used for a placement. */
  static Option<Endpoint> idleServer(ServiceState service, RoutingEvent.Place place) {
    if (service.idleServers().isEmpty()) {
      return Option.none();
    }
    Vector<Endpoint> candidates =
        service
            .idleServers()
            .keySet()
            .toVector()
            .flatMap(service::server)
            .map(EndpointState::endpoint)
            .filter(endpoint -> isUsable(service, endpoint, place));
    return IdleServerPolicy.idleServer(service, candidates, place.nowNanos());
  }

  /** Returns the servers of the first round: an idle one, and others of the own domain. */
  static Vector<Endpoint> firstRound(
      ServiceState service,
      DomainEndpoints endpoints,
      RoutingEvent.Place place,
      Option<Endpoint> idle) {
    SplittableRandom random = new SplittableRandom(place.random());
    Predicate<Endpoint> eligible = eligible(service, place, idle.toVector(), random);
    int count = FIRST_ROUND_SERVERS - (idle.isDefined() ? 1 : 0);
    Vector<Endpoint> own = draw(endpoints.own(), count, eligible, random);
    Vector<Endpoint> drawn =
        own.isEmpty() ? draw(endpoints.others(), count, eligible, random) : own;
    return idle.toVector().appendAll(drawn);
  }

  /**
   * Returns the servers of the second round, from the own domain and from others. If the own domain
   * has too few, others make up for them.
   */
  static Vector<Endpoint> secondRound(
      ServiceState service, DomainEndpoints endpoints, PendingPlacement pending, long nowNanos) {
    RoutingEvent.Place place = pending.place().at(nowNanos);
    SplittableRandom random = new SplittableRandom(~place.random());
    Predicate<Endpoint> eligible = eligible(service, place, pending.asked(), random);
    Vector<Endpoint> own = draw(endpoints.own(), SECOND_ROUND_OWN_SERVERS, eligible, random);
    return own.appendAll(
        draw(endpoints.others(), SECOND_ROUND_SERVERS - own.size(), eligible, random));
  }

  private static Predicate<Endpoint> eligible(
      ServiceState service,
      RoutingEvent.Place place,
      Vector<Endpoint> asked,
      SplittableRandom random) {
    return endpoint ->
        !asked.contains(endpoint)
            && isUsable(service, endpoint, place)
            && !service
                .server(endpoint.server())
                .exists(
                    server ->
                        PowerOfTwoChooser.isSkippedByRamp(
                            server, random.nextDouble(), place.nowNanos()));
  }

  /** Whether a server is in use, untried and not avoided. */
  static boolean isUsable(ServiceState service, Endpoint endpoint, RoutingEvent.Place place) {
    return !place.triedServers().contains(endpoint.server())
        && service.server(endpoint.server()).exists(EndpointState::isInUse)
        && !service
            .avoidances()
            .get(endpoint.server())
            .exists(avoidance -> avoidance.isActive(place.nowNanos()));
  }

  /** Draws distinct endpoints by a partial Fisher-Yates shuffle that copies no endpoints. */
  private static Vector<Endpoint> draw(
      Vector<Endpoint> pool, int count, Predicate<Endpoint> eligible, SplittableRandom random) {
    Map<Integer, Integer> moved = new HashMap<>();
    Vector<Endpoint> drawn = Vector.empty();
    int probes = Math.min(pool.size(), MAX_PROBES);
    for (int i = 0; i < probes && drawn.size() < count; i++) {
      int position = i + random.nextInt(pool.size() - i);
      Endpoint endpoint = pool.get(moved.getOrDefault(position, position));
      moved.put(position, moved.getOrDefault(i, i));
      if (eligible.test(endpoint)) {
        drawn = drawn.append(endpoint);
      }
    }
    return drawn;
  }
}
