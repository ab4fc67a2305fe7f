package org.clementinepost.storage.rows;

import io.vavr.control.Option;
import org.clementinepost.api.StoreVersion;

/**
 * Change of one row that takes effect only if the row still has the expected version.
 *
 * @param key the row's key
 * @param value the new value; none removes the row
 * @param expected the version that the row must have; number zero if the row must not exist
 */
public record RowWrite(String key, Option<String> value, StoreVersion expected) {
  /** Creates a change in a store that does not tell its era. */
  public RowWrite(String key, Option<String> value, long expectedVersion) {
    this(key, value, StoreVersion.of(expectedVersion));
  }

  /** Returns the number of the expected version. */
  public long expectedVersion() {
    return expected.version();
  }
}
