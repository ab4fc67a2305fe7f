package org.clementinepost.node.health;

import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Reply;

/** A message to {@link HealthService}. */
public sealed interface HealthMessage {
  /** The next check is due. */
  record Check() implements HealthMessage {}

  /** Asks for a reply once the node can't recover and its process should end. */
  record AwaitFailure(Reply<Failure> reply) implements HealthMessage {}
}
