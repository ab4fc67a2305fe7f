package org.clementinepost.storage;

/**
 * Key of an item of the table.
 *
 * @param partition the partition key; the items of one partition can be queried together
 * @param sort the sort key, which is unique within the partition and orders its items
 */
public record ItemKey(String partition, String sort) {}
