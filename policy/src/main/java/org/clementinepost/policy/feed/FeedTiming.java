package org.clementinepost.policy.feed;

/**
 * The times by which a table is followed.
 *
 * @param longPollMillis how long the store may wait for a change
 * @param batchMillis the delay before the store is read again after a change, so that one response
 *     carries several changes
 * @param retryMillis the delay after a failure of the store
 */
public record FeedTiming(long longPollMillis, long batchMillis, long retryMillis) {
  /** The time beyond a long poll after which its response is late. */
  private static final long STALE_MARGIN_MILLIS = 400;

  /** Returns the age of the last news from the store after which a relay is taken for stale. */
  long staleAfterMillis() {
    return longPollMillis + STALE_MARGIN_MILLIS;
  }
}
