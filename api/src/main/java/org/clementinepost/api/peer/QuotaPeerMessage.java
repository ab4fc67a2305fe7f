package org.clementinepost.api.peer;

import org.clementinepost.api.CustomerId;

/** What nodes and the keeper of the quota say to each other. */
public sealed interface QuotaPeerMessage extends PeerMessage {
  /**
   * Asks the keeper for a token.
   *
   * @param ask tells the asker's questions apart
   * @param customer whose token is asked for
   */
  record Ask(long ask, CustomerId customer) implements QuotaPeerMessage {}

  /**
   * Answers a question.
   *
   * @param ask the question
   * @param keeper whether the answering node is the keeper; its answer counts only then
   * @param granted whether the asker has a token
   * @param waitMillis when the next token comes, if it has none
   */
  record Answer(long ask, boolean keeper, boolean granted, long waitMillis)
      implements QuotaPeerMessage {}
}
