package org.clementinepost.node.configuration;

import java.util.concurrent.TimeUnit;

/**
 * Tells at what time of this node the store gave an answer.
 *
 * <p>An answer that was waited for holds as of its end, long after it was asked for. Each answer
 * bounds how far this node's clock is ahead of the store's, and the tightest bound dates them all.
 *
 * @param lowerBoundNanos how far this node's clock is ahead of the store's, at least
 */
record StoreClockOffset(long lowerBoundNanos) {
  private static final long UNKNOWN_OFFSET_NANOS = Long.MIN_VALUE / 2;

  /** The store tells whole milliseconds of its clock. */
  private static final long RESOLUTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  static final StoreClockOffset UNKNOWN = new StoreClockOffset(UNKNOWN_OFFSET_NANOS);

  /**
   * An answer has come.
   *
   * @param askedNanos when it was asked for
   * @param storeMillis what the store's clock showed in it
   */
  StoreClockOffset withResponse(long askedNanos, long storeMillis) {
    long atMost = askedNanos - TimeUnit.MILLISECONDS.toNanos(storeMillis) - RESOLUTION_NANOS;
    return new StoreClockOffset(Math.max(lowerBoundNanos, atMost));
  }

  /**
   * The earliest time of this node at which the store can have given an answer.
   *
   * @param askedNanos when it was asked for
   * @param receivedNanos when it came
   * @param storeMillis what the store's clock showed in it
   */
  long earliestResponseNanos(long askedNanos, long receivedNanos, long storeMillis) {
    long givenNanos = TimeUnit.MILLISECONDS.toNanos(storeMillis) + lowerBoundNanos;
    return Math.max(askedNanos, Math.min(receivedNanos, givenNanos));
  }
}
