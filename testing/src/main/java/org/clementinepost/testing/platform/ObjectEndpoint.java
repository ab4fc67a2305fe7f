package org.clementinepost.testing.platform;

import io.vavr.control.Option;
import org.clementinepost.storage.ObjectStore;
import reactor.core.publisher.Mono;

/** Answers the object store's requests. */
final class ObjectEndpoint {
  private final ObjectStore objects;

  ObjectEndpoint(ObjectStore objects) {
    this.objects = objects;
  }

  Mono<StandInAnswer> get(String path) {
    return objects
        .get(path)
        .map(read -> read.fold(StandInAnswer::objectError, ObjectEndpoint::found));
  }

  private static StandInAnswer found(Option<byte[]> content) {
    return content.map(StandInAnswer::object).getOrElse(StandInAnswer::objectMissing);
  }

  /** Writes an object; the store refuses to touch one that is there, when asked to. */
  Mono<StandInAnswer> put(String path, byte[] content, boolean ifAbsent) {
    return objects
        .get(path)
        .flatMap(
            read -> {
              if (ifAbsent && read.exists(Option::isDefined)) {
                return Mono.just(StandInAnswer.objectPresent());
              }
              return objects
                  .put(path, content)
                  .map(
                      done ->
                          done.fold(
                              StandInAnswer::objectError, key -> StandInAnswer.objectWritten()));
            });
  }
}
