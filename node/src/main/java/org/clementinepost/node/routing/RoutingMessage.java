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
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.routing.Placement;

/** What the routing service is told. */
public sealed interface RoutingMessage {
  /** Asks for a backend server for a request. */
  record Place(
      RequestHead head, Set<BackendServerId> triedServers, Reply<Either<Failure, Placement>> reply)
      implements RoutingMessage {}

  /**
   * Tells how an attempt ended.
   *
   * @param endpoint the backend server that was chosen
   * @param failure why no whole answer came; none when one came
   * @param head the head of the answer; its status is zero when there is none
   * @param totalMicros the time that the attempt took as ingress saw it
   */
  record AttemptEnded(
      Endpoint endpoint, Option<Failure> failure, ResponseHead head, long totalMicros)
      implements RoutingMessage {}

  /** Tells a host that a request for its own backend server has come from an ingress node. */
  record HostedRequestStarted(BackendServerId server, ServiceId service, NodeId ingress)
      implements RoutingMessage {}

  /** A host has come to a verdict on its backend server. */
  record HostReported(NodeId host, HostReportMessage message) implements RoutingMessage {}

  /**
   * Tells a host how its own backend server did on a request, and asks for what it knows of it.
   *
   * @param server the backend server
   * @param failure why no answer came; none when one came or nobody waits for it any more
   * @param status the HTTP status of the answer, zero without one
   * @param serverMicros the time that the backend server took
   * @param reply takes the host's report
   */
  record HostedRequestEnded(
      BackendServerId server,
      Option<Failure> failure,
      int status,
      long serverMicros,
      Reply<HostReport> reply)
      implements RoutingMessage {}

  /** The directory's view of a service has changed. */
  record EndpointsChanged(ServiceId service, Vector<Endpoint> endpoints)
      implements RoutingMessage {}

  /** A configuration has come into force. */
  record Configured(Snapshot snapshot) implements RoutingMessage {}

  /** It is time to look for requests that have gone without an answer for too long. */
  record Tick() implements RoutingMessage {}
}
