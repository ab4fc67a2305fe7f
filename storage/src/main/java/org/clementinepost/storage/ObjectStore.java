package org.clementinepost.storage;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import reactor.core.publisher.Mono;

/** The platform's object store, whose objects are written once and never changed. */
public interface ObjectStore {
  /** Reads an object. */
  Mono<Either<Failure, Option<byte[]>>> get(String key);

  /** Writes an object; writing the same name again with the same bytes changes nothing. */
  Mono<Either<Failure, String>> put(String key, byte[] content);
}
