package org.clementinepost.storage.rows;

import io.vavr.control.Option;

/**
 * A change of one row that takes effect only if nobody else was first.
 *
 * @param key the row's key
 * @param value its new value; none removes the row
 * @param expectedVersion the version that the row must have; zero when there must be none
 */
public record RowWrite(String key, Option<String> value, long expectedVersion) {}
