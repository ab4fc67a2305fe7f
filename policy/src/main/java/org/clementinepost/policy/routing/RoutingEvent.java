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
import org.clementinepost.kernel.Reply;

/** What the routing decision is told. */
public sealed interface RoutingEvent {
  /** The directory's view of a service has changed. */
  record EndpointsChanged(ServiceId service, Vector<Endpoint> endpoints, long nowNanos)
      implements RoutingEvent {}

  /** The services as they are configured now. */
  record Configured(Map<ServiceId, Service> services, long nowNanos) implements RoutingEvent {}

  /**
   * Asks for a backend server for a request.
   *
   * @param head the request, at the attempt that is to be placed
   * @param triedServers the backend servers that have refused it
   * @param random one random number for this choice
   * @param nowNanos the time of the choice
   * @param reply takes the chosen endpoint
   */
  record Place(
      RequestHead head,
      Set<BackendServerId> triedServers,
      long random,
      long nowNanos,
      Reply<Either<Failure, Placement>> reply)
      implements RoutingEvent {}

  /**
   * Tells how an attempt ended.
   *
   * @param endpoint the backend server that was chosen
   * @param failure why no whole answer came; none when one came
   * @param status the HTTP status of the answer, zero without one
   * @param serverMicros the time that the backend server took
   * @param totalMicros the time that the attempt took as ingress saw it
   * @param report what the host has seen of the backend server
   * @param nowNanos the time of the end
   */
  record AttemptEnded(
      Endpoint endpoint,
      Option<Failure> failure,
      int status,
      long serverMicros,
      long totalMicros,
      HostReport report,
      long nowNanos)
      implements RoutingEvent {}

  /** Tells a host that a request for its own backend server has come from an ingress node. */
  record HostedRequestStarted(
      BackendServerId server, ServiceId service, NodeId ingress, long nowNanos)
      implements RoutingEvent {}

  /** A host has come to a verdict on its backend server. */
  record HostReported(
      BackendServerId server, ServiceId service, NodeId host, HostReport report, long nowNanos)
      implements RoutingEvent {}

  /**
   * Tells a host how its own backend server did on a request, whichever ingress node it came from.
   *
   * @param server the backend server
   * @param failure why no answer came; none when one came
   * @param status the HTTP status of the answer, zero without one
   * @param serverMicros the time that the backend server took
   * @param nowNanos the time of the answer
   * @param reply takes what the host knows of the backend server
   */
  record HostedRequestEnded(
      BackendServerId server,
      Option<Failure> failure,
      int status,
      long serverMicros,
      long nowNanos,
      Reply<HostReport> reply)
      implements RoutingEvent {}

  /** It is time to look for requests that have gone without an answer for too long. */
  record Tick(long nowNanos) implements RoutingEvent {}
}
