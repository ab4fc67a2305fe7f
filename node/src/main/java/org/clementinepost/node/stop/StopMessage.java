package org.clementinepost.node.stop;

import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.stop.StopPart;

/** A message to {@link StopService}. */
public sealed interface StopMessage {
  /** Stops the node; replies when the stop is complete, with whether no request was aborted. */
  record Stop(Reply<Boolean> reply) implements StopMessage {}

  /** A part of the node has reported how many of its requests or connections are in flight. */
  record InFlightReported(StopPart part, int count) implements StopMessage {}

  /** A timer of the stop has fired. */
  record TimerFired() implements StopMessage {}
}
