package org.clementinepost.testing.rows;

import io.vavr.control.Option;

/**
 * A row, or what is left of one that was removed.
 *
 * @param table its table
 * @param key its key
 * @param value its value in Base64; none when it was removed
 * @param version the version at which it was last changed
 */
record StoredRow(String table, String key, Option<String> value, long version) {}
