package org.clementinepost.storage.rows;

import io.vavr.collection.Vector;

/**
 * What operators have ordered, as of one moment.
 *
 * @param changes all that holds, or what has changed, in order
 * @param version the store's version at that moment, from which changes are followed
 * @param storeMillis that moment by the store's steady clock
 */
public record OperatorPage(Vector<OperatorChange> changes, long version, long storeMillis) {}
