package org.clementinepost.storage.rows;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.StoreVersion;
import reactor.core.publisher.Mono;

/** Reads and changes small tables and waits for their changes. */
public interface RowStore {
  /** Reads all rows of a table. */
  Mono<Either<Failure, RowPage>> read(String table);

  /**
   * Waits for changes of a table.
   *
   * @param table the table
   * @param version the store's version up to which the caller knows all changes
   * @param waitMillis the maximum time to wait for a change, after which the page is empty
   * @return the changes, or {@link org.clementinepost.api.ResultCode#PLATFORM_HISTORY_LOST}
   */
  Mono<Either<Failure, RowPage>> changesSince(String table, StoreVersion version, long waitMillis);

  /**
   * Changes one row.
   *
   * @return the row's new version in the era of the expected one, or {@link
   *     org.clementinepost.api.ResultCode#PLATFORM_CONDITION_FAILED}, or {@link
   *     org.clementinepost.api.ResultCode#PLATFORM_HISTORY_LOST} if the expected version is of an
   *     earlier era; the write may then have replaced another one
   */
  Mono<Either<Failure, Long>> write(String table, RowWrite write);
}
