package org.clementinepost.api.peer;

import org.clementinepost.api.config.Customer;

/** A message between a node and the quota leader. */
public sealed interface QuotaPeerMessage extends PeerMessage {
  /**
   * Requests a token from the leader.
   *
   * @param requestNumber identifies the request among those of its sender
   * @param customer the customer whose token is requested, as the requester's configuration has it
   * @param configurationVersion the version of that configuration; the leader's own may be older
   */
  record TokenRequest(long requestNumber, Customer customer, long configurationVersion)
      implements QuotaPeerMessage {}

  /**
   * Responds to a token request.
   *
   * @param requestNumber the number of the token request
   * @param leader whether the responding node is the leader; the response is valid only then
   * @param granted whether a token was granted
   * @param waitMillis the time after which the request may be sent again, if none was granted
   */
  record TokenResponse(long requestNumber, boolean leader, boolean granted, long waitMillis)
      implements QuotaPeerMessage {}
}
