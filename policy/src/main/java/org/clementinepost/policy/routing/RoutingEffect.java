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
import org.clementinepost.kernel.Reply;

/** What the routing decision asks for. */
public sealed interface RoutingEffect {
  /** Answers the one who asked for a backend server. */
  record Placed(
      RequestHead head,
      Either<Failure, Placement> result,
      String reason,
      Reply<Either<Failure, Placement>> reply)
      implements RoutingEffect {}

  /**
   * Tells that a backend server gets no more requests of this node for a while.
   *
   * @param endpoint the backend server
   * @param reason what the verdict rests on
   * @param consecutiveEjections the ejections in a row
   * @param firstTrialNanos when the first trial request may be sent
   */
  record Ejected(
      Endpoint endpoint, EjectionReason reason, int consecutiveEjections, long firstTrialNanos)
      implements RoutingEffect {}

  /** Tells that a backend server gets requests again. */
  record Readmitted(Endpoint endpoint) implements RoutingEffect {}

  /** Tells ingress nodes of a host's new verdict on its backend server. */
  record NotifyIngresses(
      Set<NodeId> nodes, BackendServerId server, ServiceId service, HostReport report)
      implements RoutingEffect {}

  /** Answers with what the host knows of its backend server. */
  record ReplyWithReport(HostReport report, Reply<HostReport> reply) implements RoutingEffect {}
}
