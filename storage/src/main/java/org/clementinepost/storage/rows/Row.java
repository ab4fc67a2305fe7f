package org.clementinepost.storage.rows;

import io.vavr.control.Option;

/**
 * Row of a table.
 *
 * @param key the key
 * @param value the value; none if the row has been removed
 * @param version the store's version at the last change of the row; it increases with each change
 *     of any row
 */
public record Row(String key, Option<String> value, long version) {}
