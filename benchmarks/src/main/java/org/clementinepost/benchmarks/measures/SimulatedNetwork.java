package org.clementinepost.benchmarks.measures;

import org.clementinepost.api.Endpoint;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.routing.RoutingEffect;

/** Delivers requests, responses and health reports between simulated nodes with network delay. */
interface SimulatedNetwork {
  /** Sends a request from an ingress to the host of an endpoint; the reply may never come. */
  void send(SimulatedNode ingress, Endpoint endpoint, RequestHead head, Reply<AttemptResult> reply);

  /** Sends a host's health report on its backend server to ingress nodes. */
  void sendHostReport(SimulatedNode host, RoutingEffect.NotifyIngresses notification);
}
