package org.clementinepost.storage;

/**
 * One item of the table.
 *
 * @param key where it is kept
 * @param version counts its writes; conditional writes compare it
 * @param body the item's JSON text
 */
public record Item(ItemKey key, long version, String body) {}
