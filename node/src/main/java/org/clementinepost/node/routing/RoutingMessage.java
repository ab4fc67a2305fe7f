package org.clementinepost.node.routing;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.routing.Placement;

/** What the routing service is told. */
public sealed interface RoutingMessage {
  /** Asks for a backend server for a request. */
  record Place(
      RequestHead head, Set<BackendServerId> tried, Reply<Either<Failure, Placement>> reply)
      implements RoutingMessage {}

  /**
   * Tells how an attempt ended.
   *
   * @param endpoint the backend server that was chosen
   * @param failure why no whole answer came; none when one came
   * @param head the head of the answer; its status is zero when there is none
   * @param totalMicros the time that the attempt took as ingress saw it
   */
  record Ended(Endpoint endpoint, Option<Failure> failure, ResponseHead head, long totalMicros)
      implements RoutingMessage {}

  /** Tells a host how its own backend server did on a request, and asks for what it knows of it. */
  record Served(
      BackendServerId server,
      ServiceId service,
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
