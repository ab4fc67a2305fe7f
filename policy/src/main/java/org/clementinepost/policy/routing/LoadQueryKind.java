package org.clementinepost.policy.routing;

import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.peer.LoadPeerMessage;

/**
 * The properties of a request on which a host's reply to a load query depends.
 *
 * @param callOfServer whether the request is a call of a backend server to another service
 * @param idempotent whether the request may safely run more than once
 * @param priority the priority of the request
 * @param targetLatencyMillis the target latency of the request; zero if it has none
 */
record LoadQueryKind(
    boolean callOfServer, boolean idempotent, int priority, long targetLatencyMillis) {
  static LoadQueryKind of(RequestHead head) {
    return new LoadQueryKind(
        head.customer().isEmpty() && head.options().callingService().isDefined(),
        head.idempotent(),
        head.options().priority(),
        head.options().targetLatencyMillis());
  }

  LoadPeerMessage.Query query(long queryNumber, BackendServerId server, boolean sameDomain) {
    return new LoadPeerMessage.Query(
        queryNumber, server, sameDomain, callOfServer, idempotent, priority, targetLatencyMillis);
  }
}
