package org.clementinepost.node.peer;

/**
 * Tracks whether the peer has received all stream frames that were sent on a connection.
 *
 * <p>Frames arrive in order, so the response to a ping confirms all frames sent before it.
 *
 * @param lastSentNanos when the last frame was sent
 * @param awaitedPong the sequence number of the ping sent after the last frame, or {@link #NO_PING}
 * @param delivered whether the peer has received all frames
 */
record SentFrames(long lastSentNanos, long awaitedPong, boolean delivered) {
  private static final long NO_PING = -1;

  static SentFrames none() {
    return new SentFrames(0, NO_PING, true);
  }

  SentFrames onFrameSent(long nowNanos) {
    return new SentFrames(nowNanos, NO_PING, false);
  }

  SentFrames onPingSent(long sequence) {
    return new SentFrames(lastSentNanos, sequence, delivered);
  }

  SentFrames onPong(long sequence) {
    return new SentFrames(
        lastSentNanos,
        awaitedPong,
        delivered || (awaitedPong != NO_PING && sequence >= awaitedPong));
  }

  /** Whether a ping is needed to confirm the last frame. */
  boolean needsPing() {
    return !delivered && awaitedPong == NO_PING;
  }
}
