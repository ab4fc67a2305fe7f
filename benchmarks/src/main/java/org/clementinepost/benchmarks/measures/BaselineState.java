package org.clementinepost.benchmarks.measures;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;

/** State of a baseline: endpoints, outstanding requests and the position of the round robin. */
record BaselineState(
    Vector<Endpoint> endpoints,
    Map<BackendServerId, Integer> outstandingRequests,
    int roundRobinIndex) {
  static BaselineState empty() {
    return new BaselineState(Vector.empty(), HashMap.empty(), 0);
  }

  BaselineState withOutstandingChange(Endpoint endpoint, int change) {
    int next = outstandingRequestsTo(endpoint) + change;
    return new BaselineState(
        endpoints, outstandingRequests.put(endpoint.server(), next), roundRobinIndex);
  }

  int outstandingRequestsTo(Endpoint endpoint) {
    return outstandingRequests.getOrElse(endpoint.server(), 0);
  }
}
