package org.clementinepost.node.stop;

import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.stop.StopPart;

/** What the service of the planned stop is told. */
public sealed interface StopMessage {
  /** The node is to stop; tells when it may go, and whether nothing was cut. */
  record Stop(Reply<Boolean> reply) implements StopMessage {}

  /** A part has so much of others' work in hand. */
  record InFlightReported(StopPart part, int count) implements StopMessage {}

  /** A moment of the stop has come. */
  record TimerFired() implements StopMessage {}
}
