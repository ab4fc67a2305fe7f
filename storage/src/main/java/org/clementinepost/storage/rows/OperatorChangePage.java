package org.clementinepost.storage.rows;

import io.vavr.collection.Vector;

/**
 * What operators have ordered, as of one moment.
 *
 * @param changes all that holds, or what has changed, in order
 * @param version the store's version at that moment, from which changes are followed
 * @param storeClockMillis that moment by the store's steady clock
 */
public record OperatorChangePage(
    Vector<OperatorChange> changes, long version, long storeClockMillis) {}
