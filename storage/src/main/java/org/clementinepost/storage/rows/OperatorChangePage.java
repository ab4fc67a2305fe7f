package org.clementinepost.storage.rows;

import io.vavr.collection.Vector;
import org.clementinepost.api.StoreVersion;

/**
 * Changes made by operators, as of one moment.
 *
 * @param changes the complete state as changes, or the changes since the requested version, in
 *     order
 * @param version the store's version at that moment, from which to wait for further changes
 * @param storeClockMillis that moment on the store's monotonic clock
 * @param origin how the page reached its reader
 */
public record OperatorChangePage(
    Vector<OperatorChange> changes,
    StoreVersion version,
    long storeClockMillis,
    PageOrigin origin) {
  /** Creates a page that a store without eras sent after the reader's call. */
  public OperatorChangePage(Vector<OperatorChange> changes, long version, long storeClockMillis) {
    this(changes, StoreVersion.of(version), storeClockMillis, new PageOrigin.AfterCall());
  }
}
