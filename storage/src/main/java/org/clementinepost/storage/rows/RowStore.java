package org.clementinepost.storage.rows;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import reactor.core.publisher.Mono;

/** Reads, follows and changes small tables. */
public interface RowStore {
  /** Reads all rows of a table. */
  Mono<Either<Failure, RowPage>> read(String table);

  /**
   * Waits for changes of a table.
   *
   * @param table the table
   * @param version the version up to which changes are known
   * @param waitMillis how long to wait for one; an empty page comes then
   * @return the changes, or {@link org.clementinepost.api.ResultCode#PLATFORM_HISTORY_LOST}
   */
  Mono<Either<Failure, RowPage>> changesSince(String table, long version, long waitMillis);

  /**
   * Changes one row.
   *
   * @return the row's new version, or {@link
   *     org.clementinepost.api.ResultCode#PLATFORM_CONDITION_FAILED}
   */
  Mono<Either<Failure, Long>> write(String table, RowWrite write);
}
