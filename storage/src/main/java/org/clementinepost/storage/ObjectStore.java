package org.clementinepost.storage;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import reactor.core.publisher.Mono;

/** Stores objects that are written once and never changed. */
public interface ObjectStore {
  /** Reads an object; none if it does not exist. */
  Mono<Either<Failure, Option<byte[]>>> get(String key);

  /** Writes an object; writing the same bytes under the same key again has no effect. */
  Mono<Either<Failure, String>> put(String key, byte[] content);
}
