package org.clementinepost.policy.routing;

import org.clementinepost.api.Endpoint;

/**
 * What an ingress node knows of one backend server.
 *
 * @param endpoint the backend server as announced
 * @param outstanding the requests of this node that it has not answered
 * @param evidence what speaks against it
 * @param standing whether it gets requests
 */
record EndpointState(
    Endpoint endpoint, Outstanding outstanding, Evidence evidence, Standing standing) {

  static EndpointState of(Endpoint endpoint) {
    return new EndpointState(
        endpoint, Outstanding.NONE, Evidence.NONE, Standing.InUse.FROM_THE_START);
  }

  boolean inUse() {
    return standing instanceof Standing.InUse;
  }

  EndpointState with(Endpoint next) {
    return new EndpointState(next, outstanding, evidence, standing);
  }

  EndpointState with(Outstanding next) {
    return new EndpointState(endpoint, next, evidence, standing);
  }

  EndpointState with(Evidence next) {
    return new EndpointState(endpoint, outstanding, next, standing);
  }

  /** A change of standing starts the evidence anew. */
  EndpointState with(Standing next) {
    return new EndpointState(endpoint, outstanding, Evidence.NONE, next);
  }
}
