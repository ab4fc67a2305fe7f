package org.clementinepost.storage;

/**
 * Item of the table.
 *
 * @param key the key of the item
 * @param version the version of the item, which increases with each write and which conditional
 *     writes compare
 * @param body the content of the item as JSON
 */
public record Item(ItemKey key, long version, String body) {}
