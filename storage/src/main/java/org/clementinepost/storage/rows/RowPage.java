package org.clementinepost.storage.rows;

import io.vavr.collection.Vector;

/**
 * Rows as of one moment.
 *
 * @param rows the rows, or those that have changed
 * @param version the store's version at that moment, from which changes are followed
 * @param storeClockMillis that moment by the store's steady clock
 */
public record RowPage(Vector<Row> rows, long version, long storeClockMillis) {
  /** The page with other rows. */
  public RowPage withRows(Vector<Row> next) {
    return new RowPage(next, version, storeClockMillis);
  }
}
