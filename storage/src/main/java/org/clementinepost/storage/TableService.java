package org.clementinepost.storage;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import reactor.core.publisher.Mono;

/**
 * Reads and writes the platform's transactional table.
 *
 * <p>The response may be lost after a write took effect: after {@code PLATFORM_UNAVAILABLE} and
 * {@code PLATFORM_PROTOCOL} it is unknown whether the write took effect; {@code
 * PLATFORM_CONDITION_FAILED} and {@code PLATFORM_THROTTLED} mean that it did not.
 */
public interface TableService {
  /** Reads one item; the result reflects every write that took effect before. */
  Mono<Either<Failure, Option<Item>>> get(ItemKey key);

  /**
   * Reads up to {@code limit} items of a partition, in the order of their sort keys, starting after
   * {@code after}.
   */
  Mono<Either<Failure, Vector<Item>>> query(String partition, Option<String> after, int limit);

  /** Applies all writes if every condition is met, and none otherwise; returns the writes. */
  Mono<Either<Failure, Vector<ItemWrite>>> write(Vector<ItemWrite> writes);
}
