package org.clementinepost.node.routing;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Reply;

/** What the routing service is told. */
public sealed interface RoutingMessage {
  /** Asks for a backend server for a request. */
  record Place(RequestHead head, Set<BackendServerId> tried, Reply<Either<Failure, Endpoint>> reply)
      implements RoutingMessage {}

  /** Tells how an attempt ended. */
  record Ended(
      Endpoint endpoint, Option<Failure> failure, int status, long serverMicros, long totalMicros)
      implements RoutingMessage {}

  /** The directory's view of a service has changed. */
  record EndpointsChanged(ServiceId service, Vector<Endpoint> endpoints)
      implements RoutingMessage {}
}
