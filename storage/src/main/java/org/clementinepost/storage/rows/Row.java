package org.clementinepost.storage.rows;

import io.vavr.control.Option;

/**
 * One row of a table.
 *
 * @param key its key
 * @param value its value; none when the row has been removed
 * @param version grows with each change of any row
 */
public record Row(String key, Option<String> value, long version) {}
