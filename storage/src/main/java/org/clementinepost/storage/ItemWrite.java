package org.clementinepost.storage;

import io.vavr.control.Option;

/**
 * Write of one item within a transaction.
 *
 * @param key the item to write
 * @param condition the condition on the stored item
 * @param newItem the new item; none deletes the item
 */
public record ItemWrite(ItemKey key, ItemCondition condition, Option<Item> newItem) {}
