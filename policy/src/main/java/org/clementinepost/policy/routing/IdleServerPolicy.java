package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.NodeId;
import org.clementinepost.kernel.Step;

/**
 * Lets idle backend servers ask for requests (join-idle-queue).
 *
 * <p>Ingress nodes choose independently of one another. Where a service has few requests for its
 * servers, their choices leave some healthy servers without any for seconds, and no ingress node
 * can notice that. The host can: it notifies a few ingress nodes that used the server recently, and
 * each of them sends it one of its next requests.
 */
final class IdleServerPolicy {
  /** The time since a server's last response after which it counts as idle. */
  private static final long IDLE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** The interval at which a server that is still idle notifies other ingress nodes. */
  private static final long NOTICE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final int NODES_PER_NOTICE = 4;

  /** Limits the messages of a server that stays idle, as at night. */
  private static final int MAX_NOTICES = 4;

  /** How long an ingress node remembers that a server is idle. */
  private static final long NOTICE_TTL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private IdleServerPolicy() {}

  /** At the host: notifies further ingress nodes if a server is idle and a notice is due. */
  static Step<RoutingState, RoutingEffect> notifyIfIdle(
      RoutingState state, BackendServerId server, HostedServerEvidence hosted, long nowNanos) {
    long dueNanos =
        hosted.lastGoodResponseNanos()
            + IDLE_AFTER_NANOS
            + hosted.idleNotices() * NOTICE_INTERVAL_NANOS;
    boolean due =
        hosted.outstanding() == 0 && hosted.idleNotices() < MAX_NOTICES && nowNanos >= dueNanos;
    if (!due || hosted.currentReport(nowNanos).isUnhealthy()) {
      return Step.to(state);
    }
    Vector<NodeId> nodes =
        hosted
            .ingressNodesByLastRequest()
            .drop(hosted.idleNotices() * NODES_PER_NOTICE)
            .take(NODES_PER_NOTICE);
    if (nodes.isEmpty()) {
      return Step.to(state);
    }
    return Step.to(
        state.withHostedServers(state.hostedServers().put(server, hosted.withIdleNotice())),
        new RoutingEffect.NotifyIngresses(
            nodes.toSet(), server, hosted.service(), HostReport.IDLE));
  }

  /** At an ingress node: remembers that a server is idle. */
  static RoutingState onIdle(RoutingState state, RoutingEvent.HostReported reported) {
    ServiceState service = state.service(reported.service());
    boolean inUse =
        service
            .server(reported.server())
            .exists(s -> s.isInUse() && s.endpoint().host().equals(reported.host()));
    if (!inUse) {
      return state;
    }
    long untilNanos = reported.nowNanos() + NOTICE_TTL_NANOS;
    return state.with(
        reported.service(),
        service.withIdleServers(service.idleServers().put(reported.server(), untilNanos)));
  }

  /** Returns the first candidate that is idle. */
  static Option<Endpoint> idleServer(
      ServiceState service, Vector<Endpoint> candidates, long nowNanos) {
    if (service.idleServers().isEmpty()) {
      return Option.none();
    }
    return candidates.find(
        endpoint -> service.idleServers().get(endpoint.server()).exists(until -> nowNanos < until));
  }

  /** Forgets the idle servers of a service whose notices have expired. */
  static ServiceState withoutExpired(ServiceState service, long nowNanos) {
    return service.idleServers().isEmpty()
        ? service
        : service.withIdleServers(service.idleServers().filterValues(until -> nowNanos < until));
  }
}
