package org.clementinepost.benchmarks.measures;

import org.clementinepost.api.Endpoint;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;

/** Carries a request from an ingress node to a host, and the answer back. */
@FunctionalInterface
interface FakeNetwork {
  /** Sends a request; the reply may never come. */
  void send(FakeNode ingress, Endpoint endpoint, RequestHead head, Reply<FakeAnswer> reply);
}
