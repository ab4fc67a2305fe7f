package org.clementinepost.node.configuration;

import java.util.concurrent.TimeUnit;

/**
 * A lower bound of the offset between the clocks of this node and the store, from which the time at
 * which the store sent a response is estimated.
 *
 * <p>The response to a long poll reflects the state at the time when the store sent it, which may
 * be long after the request. Each response gives a lower bound of the offset; the highest one is
 * used for all responses.
 *
 * @param lowerBoundNanos the smallest possible lead of this node's clock over the store's; negative
 *     if the store's clock may be ahead
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
    return Math.max(requestNanos, earliestNanos(receivedNanos, storeMillis));
  }

  /**
   * Returns the earliest time of this node's clock that a time of the store's clock can correspond
   * to.
   *
   * @param receivedNanos when the time of the store's clock was received
   * @param storeMillis the time of the store's clock
   */
  long earliestNanos(long receivedNanos, long storeMillis) {
    return Math.min(receivedNanos, TimeUnit.MILLISECONDS.toNanos(storeMillis) + lowerBoundNanos);
  }
}
