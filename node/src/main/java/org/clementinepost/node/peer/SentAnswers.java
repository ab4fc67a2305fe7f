package org.clementinepost.node.peer;

/**
 * What a connection knows of the frames of streams that it has sent.
 *
 * <p>Frames arrive in their order, so the answer to a ping that was sent after them says that they
 * have arrived.
 *
 * @param sentNanos when the last one was sent
 * @param awaitedPong the ping whose answer says that all have arrived; none when none was sent
 * @param arrived whether all are known to have arrived
 */
record SentAnswers(long sentNanos, long awaitedPong, boolean arrived) {
  private static final long NONE = -1;

  static SentAnswers none() {
    return new SentAnswers(0, NONE, true);
  }

  SentAnswers sent(long nowNanos) {
    return new SentAnswers(nowNanos, NONE, false);
  }

  SentAnswers asked(long ping) {
    return new SentAnswers(sentNanos, ping, arrived);
  }

  SentAnswers answered(long ping) {
    return new SentAnswers(
        sentNanos, awaitedPong, arrived || (awaitedPong != NONE && ping >= awaitedPong));
  }

  /** Whether it is yet to be asked for whether all have arrived. */
  boolean unasked() {
    return !arrived && awaitedPong == NONE;
  }
}
