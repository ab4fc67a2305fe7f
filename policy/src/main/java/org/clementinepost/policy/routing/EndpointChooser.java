package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;

/** Chooses among the endpoints that may be used. */
@FunctionalInterface
interface EndpointChooser {
  /**
   * Chooses one.
   *
   * @param service the service as known
   * @param candidates the endpoints that may be used, at least one
   * @param random one random number for this choice
   * @param nowNanos the time of the choice
   */
  Endpoint choose(ServiceState service, Vector<Endpoint> candidates, long random, long nowNanos);
}
