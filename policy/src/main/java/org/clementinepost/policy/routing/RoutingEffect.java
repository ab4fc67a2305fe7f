package org.clementinepost.policy.routing;

import io.vavr.control.Either;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;

/** What the routing decision asks for. */
public sealed interface RoutingEffect {
  /** Answers the one who asked for a backend server. */
  record Placed(
      RequestHead head,
      Either<Failure, Endpoint> answer,
      String reason,
      Reply<Either<Failure, Endpoint>> reply)
      implements RoutingEffect {}
}
