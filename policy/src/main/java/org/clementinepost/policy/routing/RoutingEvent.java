package org.clementinepost.policy.routing;

import io.vavr.collection.Map;
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
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.host.RequestKind;

/** An input of the routing decision. */
public sealed interface RoutingEvent {
  /** The endpoints of a service in the directory have changed. */
  record EndpointsChanged(ServiceId service, Vector<Endpoint> endpoints, long nowNanos)
      implements RoutingEvent {}

  /** The limits on this node's retries have changed, since the number of nodes has. */
  record RetryLimitsChanged(RetryLimits limits) implements RoutingEvent {}

  /** The configuration of the services has changed. */
  record Configured(Map<ServiceId, Service> services, long nowNanos) implements RoutingEvent {}

  /**
   * Requests a backend server for an attempt.
   *
   * @param head the request, at the attempt that is to be placed
   * @param triedServers the backend servers that this request has already tried
   * @param random 64 random bits for this choice
   * @param nowNanos the current time
   * @param reply receives the chosen endpoint, or the failure if there is none
   */
  record Place(
      RequestHead head,
      Set<BackendServerId> triedServers,
      long random,
      long nowNanos,
      Reply<Either<Failure, Placement>> reply)
      implements RoutingEvent {
    /** Returns the same request at a later time. */
    Place at(long laterNanos) {
      return new Place(head, triedServers, random, laterNanos, reply);
    }

    Place withTriedServers(Set<BackendServerId> next) {
      return new Place(head, next, random, nowNanos, reply);
    }
  }

  /**
   * An attempt of this ingress node has ended.
   *
   * @param endpoint the backend server that was chosen
   * @param attempt the number of the attempt
   * @param kind the kind of the request
   * @param failure why no complete response arrived; none if one arrived
   * @param status the HTTP status of the response; zero without one
   * @param serverMicros the time that the backend server took
   * @param totalMicros the time that the attempt took as seen at the ingress
   * @param report the host's report on the backend server
   * @param nowNanos the time of the end
   */
  record AttemptEnded(
      Endpoint endpoint,
      int attempt,
      RequestKind kind,
      Option<Failure> failure,
      int status,
      long serverMicros,
      long totalMicros,
      HostReport report,
      long nowNanos)
      implements RoutingEvent {
    /** Creates the end of an attempt of an unknown kind. */
    public AttemptEnded(
        Endpoint endpoint,
        int attempt,
        Option<Failure> failure,
        int status,
        long serverMicros,
        long totalMicros,
        HostReport report,
        long nowNanos) {
      this(
          endpoint,
          attempt,
          RequestKind.UNKNOWN,
          failure,
          status,
          serverMicros,
          totalMicros,
          report,
          nowNanos);
    }
  }

  /** At the host: a request for its own backend server has arrived from an ingress node. */
  record HostedRequestStarted(
      BackendServerId server,
      ServiceId service,
      HostedRequest request,
      NodeId ingress,
      long nowNanos)
      implements RoutingEvent {
    /** Creates the start of an unknown request. */
    public HostedRequestStarted(
        BackendServerId server, ServiceId service, NodeId ingress, long nowNanos) {
      this(server, service, HostedRequest.UNKNOWN, ingress, nowNanos);
    }
  }

  /** At an ingress node: a host has sent a report on its backend server. */
  record HostReported(
      BackendServerId server, ServiceId service, NodeId host, HostReport report, long nowNanos)
      implements RoutingEvent {}

  /** At an ingress node: a host has replied to a load query. */
  record LoadReplied(NodeId host, LoadPeerMessage.Reply reply, long nowNanos)
      implements RoutingEvent {}

  /** The time limit for the replies to a round of load queries has passed. */
  record LoadQueriesTimedOut(long placement, int round, long nowNanos) implements RoutingEvent {}

  /**
   * At the host: a request at its own backend server has ended, from any ingress node.
   *
   * @param server the backend server
   * @param request the request
   * @param failure why no complete response arrived; none if one arrived
   * @param status the HTTP status of the response; zero without one
   * @param serverMicros the time that the backend server took
   * @param nowNanos the time of the end
   * @param reply receives the host's current report on the backend server
   */
  record HostedRequestEnded(
      BackendServerId server,
      HostedRequest request,
      Option<Failure> failure,
      int status,
      long serverMicros,
      long nowNanos,
      Reply<HostReport> reply)
      implements RoutingEvent {
    /** Creates the end of an unknown request. */
    public HostedRequestEnded(
        BackendServerId server,
        Option<Failure> failure,
        int status,
        long serverMicros,
        long nowNanos,
        Reply<HostReport> reply) {
      this(server, HostedRequest.UNKNOWN, failure, status, serverMicros, nowNanos, reply);
    }
  }

  /** The periodic check for overdue requests and silent servers is due. */
  record Tick(long nowNanos) implements RoutingEvent {}
}
