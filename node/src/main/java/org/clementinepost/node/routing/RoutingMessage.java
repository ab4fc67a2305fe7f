package org.clementinepost.node.routing;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.api.peer.HostReportMessage;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.routing.Placement;

/** A message to {@link RoutingService}. */
public sealed interface RoutingMessage {
  /**
   * Requests a backend server for an attempt.
   *
   * @param head the request, at the attempt that is to be placed
   * @param triedServers the backend servers that this request has already tried
   * @param reply receives the chosen endpoint, or the failure if there is none
   */
  record Place(
      RequestHead head, Set<BackendServerId> triedServers, Reply<Either<Failure, Placement>> reply)
      implements RoutingMessage {}

  /**
   * An attempt of this ingress node has ended.
   *
   * @param endpoint the backend server that was chosen
   * @param request the request, at the attempt
   * @param failure why no complete response arrived; none if one did
   * @param head the head of the response; its status is zero without a response
   * @param totalMicros the time that the attempt took as seen at the ingress
   */
  record AttemptEnded(
      Endpoint endpoint,
      RequestHead request,
      Option<Failure> failure,
      ResponseHead head,
      long totalMicros)
      implements RoutingMessage {}

  /** At the host: a request for its own backend server has arrived from an ingress node. */
  record HostedRequestStarted(BackendServerId server, RequestHead head, NodeId ingress)
      implements RoutingMessage {}

  /** At an ingress node: a host has sent a report on its backend server. */
  record HostReported(NodeId host, HostReportMessage message) implements RoutingMessage {}

  /**
   * At the host: a request at its own backend server has ended; requests the health report.
   *
   * @param server the backend server
   * @param head the request
   * @param failure why no response arrived; none if one did or if the request was cancelled
   * @param status the HTTP status of the response; zero without a response
   * @param serverMicros the time that the backend server took
   * @param reply receives the host's current report on the backend server
   */
  record HostedRequestEnded(
      BackendServerId server,
      RequestHead head,
      Option<Failure> failure,
      int status,
      long serverMicros,
      Reply<HostReport> reply)
      implements RoutingMessage {}

  /** At an ingress node: a host has replied to a load query. */
  record LoadReplied(NodeId host, LoadPeerMessage.Reply reply) implements RoutingMessage {}

  /** The time limit for the replies to a round of load queries has passed. */
  record LoadQueriesTimedOut(long placement, int round) implements RoutingMessage {}

  /** The endpoints of a service in the directory have changed. */
  record EndpointsChanged(ServiceId service, Vector<Endpoint> endpoints)
      implements RoutingMessage {}

  /** The number of nodes, this one included, has changed. */
  record NodeCountChanged(int nodes) implements RoutingMessage {}

  /** A new configuration has taken effect. */
  record Configured(Snapshot snapshot) implements RoutingMessage {}

  /** The periodic check for overdue requests and silent servers is due. */
  record Tick() implements RoutingMessage {}
}
