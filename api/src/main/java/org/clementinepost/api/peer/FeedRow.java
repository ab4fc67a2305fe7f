package org.clementinepost.api.peer;

import io.vavr.control.Option;

/**
 * Row of a table of the store.
 *
 * @param key the key
 * @param value the value; none if the row has been removed
 * @param version the store's version at the last change of the row
 */
public record FeedRow(String key, Option<String> value, long version) {}
