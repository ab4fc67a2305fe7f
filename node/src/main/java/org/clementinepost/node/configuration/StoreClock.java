package org.clementinepost.node.configuration;

import java.util.concurrent.TimeUnit;

/**
 * Tells at what time of this node the store gave an answer.
 *
 * <p>An answer that was waited for holds as of its end, long after it was asked for. Each answer
 * bounds how far this node's clock is ahead of the store's, and the tightest bound dates them all.
 *
 * @param aheadNanos how far this node's clock is ahead of the store's, at least
 */
record StoreClock(long aheadNanos) {
  private static final long UNKNOWN_NANOS = Long.MIN_VALUE / 2;

  /** The store tells whole milliseconds of its clock. */
  private static final long RESOLUTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  static final StoreClock UNKNOWN = new StoreClock(UNKNOWN_NANOS);

  /**
   * An answer has come.
   *
   * @param askedNanos when it was asked for
   * @param storeMillis what the store's clock showed in it
   */
  StoreClock answered(long askedNanos, long storeMillis) {
    long atMost = askedNanos - TimeUnit.MILLISECONDS.toNanos(storeMillis) - RESOLUTION_NANOS;
    return new StoreClock(Math.max(aheadNanos, atMost));
  }

  /**
   * The earliest time of this node at which the store can have given an answer.
   *
   * @param askedNanos when it was asked for
   * @param receivedNanos when it came
   * @param storeMillis what the store's clock showed in it
   */
  long givenNanos(long askedNanos, long receivedNanos, long storeMillis) {
    long givenNanos = TimeUnit.MILLISECONDS.toNanos(storeMillis) + aheadNanos;
    return Math.max(askedNanos, Math.min(receivedNanos, givenNanos));
  }
}
