package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;

/** Load-balancing strategy: chooses one of the candidate endpoints for an attempt. */
@FunctionalInterface
interface EndpointChooser {
  /**
   * Chooses the endpoint of one attempt.
   *
   * @param service the state of the service at this node
   * @param candidates the endpoints to choose from; at least one
   * @param random 64 random bits for this choice
   * @param nowNanos the current time
   */
  Endpoint choose(ServiceState service, Vector<Endpoint> candidates, long random, long nowNanos);
}
