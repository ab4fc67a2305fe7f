package org.clementinepost.api.peer;

import io.vavr.collection.Vector;
import org.clementinepost.api.StoreVersion;

/**
 * Rows of a table of the store as of one moment.
 *
 * @param rows all rows if the page is complete, otherwise those that have changed, in order
 * @param version the store's version up to which the page contains all changes
 * @param storeClockMillis that moment on the store's own clock, which no relaying changes
 * @param complete whether rows that the page lacks do not exist
 */
public record FeedPage(
    Vector<FeedRow> rows, StoreVersion version, long storeClockMillis, boolean complete) {
  /** Creates a page of a store that does not tell its era. */
  public FeedPage(Vector<FeedRow> rows, long version, long storeClockMillis, boolean complete) {
    this(rows, StoreVersion.of(version), storeClockMillis, complete);
  }
}
