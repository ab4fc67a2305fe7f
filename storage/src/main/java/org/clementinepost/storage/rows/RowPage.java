package org.clementinepost.storage.rows;

import io.vavr.collection.Vector;
import org.clementinepost.api.StoreVersion;

/**
 * Rows as of one moment.
 *
 * @param rows all rows, or those that have changed
 * @param version the store's version at that moment, from which to wait for further changes
 * @param storeClockMillis that moment on the store's monotonic clock
 * @param origin how the page reached its reader
 */
public record RowPage(
    Vector<Row> rows, StoreVersion version, long storeClockMillis, PageOrigin origin) {
  /** Creates a page that a store without eras sent after the reader's call. */
  public RowPage(Vector<Row> rows, long version, long storeClockMillis) {
    this(rows, StoreVersion.of(version), storeClockMillis, new PageOrigin.AfterCall());
  }

  /** Returns this page with other rows. */
  public RowPage withRows(Vector<Row> newRows) {
    return new RowPage(newRows, version, storeClockMillis, origin);
  }
}
