package org.clementinepost.storage.rows;

import io.vavr.collection.Vector;

/**
 * Rows as of one moment.
 *
 * @param rows the rows, or those that have changed
 * @param version the store's version at that moment, from which changes are followed
 */
public record RowPage(Vector<Row> rows, long version) {}
