package org.clementinepost.node.edge;

import java.util.function.IntConsumer;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.settings.NodeSettings;

/** A message to {@link EdgeService}. */
public sealed interface EdgeMessage {
  /** Asks for the port on which the service listens. */
  record GetPort(Reply<Integer> reply) implements EdgeMessage {}

  /** The settings file has been reloaded. */
  record SettingsReloaded(NodeSettings settings) implements EdgeMessage {}

  /** Keeps accepting requests, but closes each connection after its next response. */
  record DisableKeepAlive() implements EdgeMessage {}

  /**
   * Accepts no new requests and closes each connection once its responses are written.
   *
   * @param inFlightListener receives the number of connections that wait for a response, now and
   *     whenever one of them closes
   */
  record StopAccepting(IntConsumer inFlightListener) implements EdgeMessage {}

  /** Closes connections on which nothing happens, and reports the number of connections. */
  record CheckConnections() implements EdgeMessage {}

  /** A caller's connection was closed after the service stopped accepting requests. */
  record CallerDisconnected() implements EdgeMessage {}
}
