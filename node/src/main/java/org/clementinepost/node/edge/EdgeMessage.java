package org.clementinepost.node.edge;

import java.util.function.IntConsumer;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.settings.NodeSettings;

/** What the edge service is told. */
public sealed interface EdgeMessage {
  /** Asks for the port that was opened. */
  record GetPort(Reply<Integer> reply) implements EdgeMessage {}

  /** The settings file has been read again. */
  record SettingsReloaded(NodeSettings settings) implements EdgeMessage {}

  /** Goes on taking requests, and ends each connection after its answer. */
  record DisableKeepAlive() implements EdgeMessage {}

  /**
   * Takes no new requests, and closes each connection once its answer is written.
   *
   * @param inFlightListener is told how many connections wait for an answer, now and at each change
   */
  record StopAccepting(IntConsumer inFlightListener) implements EdgeMessage {}

  /** A caller's connection has ended while the node is finishing. */
  record CallerDisconnected() implements EdgeMessage {}
}
