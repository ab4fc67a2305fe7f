package org.clementinepost.api.peer;

import org.clementinepost.api.CustomerId;

/** What nodes and the keeper of the quota say to each other. */
public sealed interface QuotaPeerMessage extends PeerMessage {
  /**
   * Asks the keeper for a token.
   *
   * @param requestNumber tells the asker's questions apart
   * @param customer whose token is asked for
   */
  record TokenRequest(long requestNumber, CustomerId customer) implements QuotaPeerMessage {}

  /**
   * Answers a question.
   *
   * @param requestNumber the question
   * @param leader whether the answering node is the keeper; its answer counts only then
   * @param granted whether the asker has a token
   * @param waitMillis when the next token comes, if it has none
   */
  record TokenResponse(long requestNumber, boolean leader, boolean granted, long waitMillis)
      implements QuotaPeerMessage {}
}
