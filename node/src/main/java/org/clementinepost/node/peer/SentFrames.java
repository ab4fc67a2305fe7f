package org.clementinepost.node.peer;

/**
 * What a connection knows of the frames of streams that it has sent.
 *
 * <p>Frames arrive in their order, so the answer to a ping that was sent after them says that they
 * have arrived.
 *
 * @param lastSentNanos when the last one was sent
 * @param awaitedPong the ping whose answer says that all have arrived; none when none was sent
 * @param delivered whether all are known to have arrived
 */
record SentFrames(long lastSentNanos, long awaitedPong, boolean delivered) {
  private static final long NO_PING = -1;

  static SentFrames none() {
    return new SentFrames(0, NO_PING, true);
  }

  SentFrames onFrameSent(long nowNanos) {
    return new SentFrames(nowNanos, NO_PING, false);
  }

  SentFrames onPingSent(long ping) {
    return new SentFrames(lastSentNanos, ping, delivered);
  }

  SentFrames onPong(long ping) {
    return new SentFrames(
        lastSentNanos, awaitedPong, delivered || (awaitedPong != NO_PING && ping >= awaitedPong));
  }

  /** Whether it is yet to be asked for whether all have arrived. */
  boolean needsPing() {
    return !delivered && awaitedPong == NO_PING;
  }
}
