package org.clementinepost.policy.routing;

import io.vavr.collection.Set;
import io.vavr.control.Either;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.clementinepost.kernel.Reply;

/** An action that the routing decision requests from its caller. */
public sealed interface RoutingEffect {
  /**
   * Replies with the chosen backend server, or with the failure if none was found.
   *
   * @param head the request, at the attempt that was placed
   * @param result the chosen endpoint or the failure
   * @param basis what the choice was based on
   * @param reply receives the result
   */
  record Placed(
      RequestHead head,
      Either<Failure, Placement> result,
      PlacementBasis basis,
      Reply<Either<Failure, Placement>> reply)
      implements RoutingEffect {
    Placed with(QueryBasis queries) {
      return new Placed(head, result, basis.with(queries), reply);
    }
  }

  /**
   * Reports that this node has ejected a backend server.
   *
   * @param endpoint the backend server
   * @param reason why it was ejected
   * @param consecutiveEjections the number of ejections in a row, this one included
   * @param firstTrialNanos when the first trial request may be sent
   * @param ejectedServers the number of ejected servers of the service at this node, this one
   *     included
   */
  record Ejected(
      Endpoint endpoint,
      EjectionReason reason,
      int consecutiveEjections,
      long firstTrialNanos,
      int ejectedServers)
      implements RoutingEffect {}

  /**
   * Reports that a backend server has been re-admitted after successful trial requests.
   *
   * @param endpoint the backend server
   * @param ejectedServers the number of servers of the service that remain ejected at this node
   */
  record Readmitted(Endpoint endpoint, int ejectedServers) implements RoutingEffect {}

  /** Sends a host's new unhealthy report on its backend server to ingress nodes. */
  record NotifyIngresses(
      Set<NodeId> nodes, BackendServerId server, ServiceId service, HostReport report)
      implements RoutingEffect {}

  /** Replies with the host's current report on its backend server. */
  record ReplyWithReport(HostReport report, Reply<HostReport> reply) implements RoutingEffect {}

  /** Sends a load query to a host, which may be this node. */
  record QueryLoad(NodeId host, LoadPeerMessage.Query query) implements RoutingEffect {}

  /** Has the time limit for the replies to a round of load queries reported after a delay. */
  record ScheduleQueryTimeout(long placement, int round, long delayMillis)
      implements RoutingEffect {}

  /** Reports a reply to a load query that has no effect. */
  record LoadReplyIgnored(NodeId host, long queryNumber, Cause cause) implements RoutingEffect {
    /** Why a reply has no effect. */
    public enum Cause {
      /** It answers no open query: it is late, or its number was never used. */
      NO_OPEN_QUERY,
      /** Another host was asked. */
      OTHER_HOST,
      /** Its figures are impossible. */
      IMPLAUSIBLE
    }
  }
}
