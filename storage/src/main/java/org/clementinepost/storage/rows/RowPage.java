package org.clementinepost.storage.rows;

import io.vavr.collection.Vector;

/**
 * Rows as of one moment.
 *
 * @param rows all rows, or those that have changed
 * @param version the store's version at that moment, from which to wait for further changes
 * @param storeClockMillis that moment on the store's monotonic clock
 */
public record RowPage(Vector<Row> rows, long version, long storeClockMillis) {
  /** Returns this page with other rows. */
  public RowPage withRows(Vector<Row> newRows) {
    return new RowPage(newRows, version, storeClockMillis);
  }
}
