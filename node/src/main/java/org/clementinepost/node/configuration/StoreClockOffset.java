package org.clementinepost.node.configuration;

import java.util.concurrent.TimeUnit;

/**
 * Estimates at what time of this node's clock the store sent a response.
 *
 * <p>The response to a long poll is valid as of the moment when the store sent it, which may be
 * long after the request. Each response gives a lower bound of the offset between the two clocks;
 * the highest one is used to date all responses.
 *
 * @param lowerBoundNanos the least by which this node's clock is ahead of the store's
 */
record StoreClockOffset(long lowerBoundNanos) {
  private static final long UNKNOWN_OFFSET_NANOS = Long.MIN_VALUE / 2;

  /** The store reports its clock in whole milliseconds. */
  private static final long RESOLUTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  static final StoreClockOffset UNKNOWN = new StoreClockOffset(UNKNOWN_OFFSET_NANOS);

  /**
   * Returns the offset with the bound that a further response gives, if it is tighter.
   *
   * @param requestNanos when the request was sent
   * @param storeMillis the time of the store's clock in the response
   */
  StoreClockOffset withResponse(long requestNanos, long storeMillis) {
    long boundNanos = requestNanos - TimeUnit.MILLISECONDS.toNanos(storeMillis) - RESOLUTION_NANOS;
    return new StoreClockOffset(Math.max(lowerBoundNanos, boundNanos));
  }

  /**
   * Returns the earliest time of this node's clock at which the store can have sent a response.
   *
   * @param requestNanos when the request was sent
   * @param receivedNanos when the response was received
   * @param storeMillis the time of the store's clock in the response
   */
  long earliestResponseNanos(long requestNanos, long receivedNanos, long storeMillis) {
    long responseNanos = TimeUnit.MILLISECONDS.toNanos(storeMillis) + lowerBoundNanos;
    return Math.max(requestNanos, Math.min(receivedNanos, responseNanos));
  }
}
