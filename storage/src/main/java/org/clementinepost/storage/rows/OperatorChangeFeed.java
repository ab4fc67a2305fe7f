package org.clementinepost.storage.rows;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.StoreVersion;
import reactor.core.publisher.Mono;

/** Reads the changes made by operators and waits for new ones. */
public interface OperatorChangeFeed {
  /** Reads the complete current state. */
  Mono<Either<Failure, OperatorChangePage>> read();

  /**
   * Waits for changes.
   *
   * @param version the store's version up to which the caller knows all changes
   * @param waitMillis the maximum time to wait for a change, after which the page is empty
   */
  Mono<Either<Failure, OperatorChangePage>> changesSince(StoreVersion version, long waitMillis);
}
