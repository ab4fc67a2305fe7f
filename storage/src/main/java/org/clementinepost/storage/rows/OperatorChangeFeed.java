package org.clementinepost.storage.rows;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import reactor.core.publisher.Mono;

/** Reads what operators order, and follows it. */
public interface OperatorChangeFeed {
  /** Reads all that holds. */
  Mono<Either<Failure, OperatorChangePage>> read();

  /**
   * Waits for changes.
   *
   * @param version the version up to which changes are known
   * @param waitMillis how long to wait for one; an empty page comes then
   */
  Mono<Either<Failure, OperatorChangePage>> changesSince(long version, long waitMillis);
}
