package org.clementinepost.storage.rows;

import io.vavr.collection.Vector;

/**
 * Rows as of one moment.
 *
 * @param rows the rows, or those that have changed
 * @param version the store's version at that moment, from which changes are followed
 * @param storeMillis that moment by the store's steady clock
 */
public record RowPage(Vector<Row> rows, long version, long storeMillis) {
  /** The page with other rows. */
  public RowPage with(Vector<Row> next) {
    return new RowPage(next, version, storeMillis);
  }
}
