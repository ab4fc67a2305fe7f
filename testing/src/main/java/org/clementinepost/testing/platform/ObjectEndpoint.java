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

  Mono<StandInResponse> get(String path) {
    return objects
        .get(path)
        .map(read -> read.fold(StandInResponse::objectError, ObjectEndpoint::toResponse));
  }

  private static StandInResponse toResponse(Option<byte[]> content) {
    return content.map(StandInResponse::objectContent).getOrElse(StandInResponse::objectNotFound);
  }

  /** Writes an object; the store refuses to touch one that is there, when asked to. */
  Mono<StandInResponse> put(String path, byte[] content, boolean ifAbsent) {
    return objects
        .get(path)
        .flatMap(
            read -> {
              if (ifAbsent && read.exists(Option::isDefined)) {
                return Mono.just(StandInResponse.objectExists());
              }
              return objects
                  .put(path, content)
                  .map(
                      done ->
                          done.fold(
                              StandInResponse::objectError, key -> StandInResponse.objectStored()));
            });
  }
}
