package org.clementinepost.storage;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import reactor.core.publisher.Mono;

/**
 * The platform's transactional table.
 *
 * <p>An answer may be lost after a write took effect: {@code PLATFORM_UNAVAILABLE} and {@code
 * PLATFORM_PROTOCOL} leave open whether it did, {@code PLATFORM_CONDITION_FAILED} and {@code
 * PLATFORM_THROTTLED} say that it did not.
 */
public interface TableService {
  /** Reads one item, with every write that took effect before. */
  Mono<Either<Failure, Option<Item>>> get(ItemKey key);

  /** Reads the items of a partition in the order of their sort keys, after one of them. */
  Mono<Either<Failure, Vector<Item>>> query(String partition, Option<String> after, int limit);

  /** Writes several items or none, when every condition holds; gives the items as written. */
  Mono<Either<Failure, Vector<ItemWrite>>> write(Vector<ItemWrite> writes);
}
