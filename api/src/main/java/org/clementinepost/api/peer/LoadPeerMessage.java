package org.clementinepost.api.peer;

import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.LoadReport;

/** A message by which an ingress node learns the load of a backend server from its host. */
public sealed interface LoadPeerMessage extends PeerMessage {
  /**
   * Asks a host for the load of one of its backend servers.
   *
   * @param queryNumber identifies the query among those of its sender
   * @param server the backend server
   * @param sameDomain whether the sender is in the failure domain of the host
   * @param callOfServer whether the request is a call of a backend server to another service
   * @param idempotent whether the request may safely run more than once
   * @param priority the priority of the request
   * @param targetLatencyMillis the target latency of the request; zero if it has none
   */
  record Query(
      long queryNumber,
      BackendServerId server,
      boolean sameDomain,
      boolean callOfServer,
      boolean idempotent,
      int priority,
      long targetLatencyMillis)
      implements LoadPeerMessage {}

  /**
   * Replies to a query.
   *
   * @param queryNumber the number of the query
   * @param report the load of the backend server for the request of the query
   */
  record Reply(long queryNumber, LoadReport report) implements LoadPeerMessage {}
}
