package org.clementinepost.policy.routing;

import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.policy.host.RequestKind;

/**
 * Identifies a request at the host of its backend server.
 *
 * @param id the id of the request
 * @param kind the kind of the request
 */
public record HostedRequest(RequestId id, RequestKind kind) {
  static final HostedRequest UNKNOWN = new HostedRequest(new RequestId(""), RequestKind.UNKNOWN);

  /** Returns the request of a head. */
  public static HostedRequest of(RequestHead head) {
    return new HostedRequest(head.requestId(), RequestKind.of(head));
  }
}
