package org.clementinepost.benchmarks.measures;

import org.clementinepost.api.Endpoint;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.routing.RoutingEffect;

/** Carries requests, answers and hosts' verdicts between nodes. */
interface SimulatedNetwork {
  /** Sends a request; the reply may never come. */
  void send(SimulatedNode ingress, Endpoint endpoint, RequestHead head, Reply<AttemptResult> reply);

  /** Sends a host's verdict to ingress nodes. */
  void sendHostReport(SimulatedNode host, RoutingEffect.NotifyIngresses tell);
}
