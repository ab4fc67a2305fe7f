package org.clementinepost.benchmarks.measures;

import org.clementinepost.api.Endpoint;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.routing.RoutingEffect;

/** Carries requests, answers and hosts' verdicts between nodes. */
interface FakeNetwork {
  /** Sends a request; the reply may never come. */
  void send(FakeNode ingress, Endpoint endpoint, RequestHead head, Reply<FakeAnswer> reply);

  /** Sends a host's verdict to ingress nodes. */
  void tell(FakeNode host, RoutingEffect.NotifyIngresses tell);
}
