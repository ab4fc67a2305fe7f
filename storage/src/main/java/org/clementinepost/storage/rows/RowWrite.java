package org.clementinepost.storage.rows;

import io.vavr.control.Option;

/**
 * Change of one row that takes effect only if the row still has the expected version.
 *
 * @param key the row's key
 * @param value the new value; none removes the row
 * @param expectedVersion the version that the row must have; zero if the row must not exist
 */
public record RowWrite(String key, Option<String> value, long expectedVersion) {}
