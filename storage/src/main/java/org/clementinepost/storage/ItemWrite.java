package org.clementinepost.storage;

import io.vavr.control.Option;

/**
 * One write of a transaction.
 *
 * @param key the item to write
 * @param condition what must hold of the item before
 * @param newItem the item afterwards; none deletes it
 */
public record ItemWrite(ItemKey key, ItemCondition condition, Option<Item> newItem) {}
