package org.clementinepost.testing.platform;

import io.vavr.control.Option;
import org.clementinepost.storage.ObjectStore;
import reactor.core.publisher.Mono;

/** Executes requests to the object store. */
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

  /** Writes an object; with {@code ifAbsent}, fails if the object already exists. */
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
                      written ->
                          written.fold(
                              StandInResponse::objectError, key -> StandInResponse.objectStored()));
            });
  }
}
