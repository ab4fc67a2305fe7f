package org.clementinepost.testing.rows;

import io.vavr.control.Option;

/**
 * A stored row, or the tombstone of a removed one.
 *
 * @param table its table
 * @param key its key
 * @param value its value in Base64; none if the row was removed
 * @param version the store version of its last change
 */
record StoredRow(String table, String key, Option<String> value, long version) {}
