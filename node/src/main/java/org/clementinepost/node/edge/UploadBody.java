package org.clementinepost.node.edge;

import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.Chunk;
import reactor.core.publisher.Flux;

/**
 * A caller's body, which can be read once.
 *
 * <p>A request whose body has been touched cannot be tried at another backend server.
 */
final class UploadBody {
  private final AtomicBoolean started = new AtomicBoolean();
  private final Flux<Chunk> body;

  UploadBody(Flux<Chunk> source) {
    body = source.doOnSubscribe(subscription -> started.set(true));
  }

  Flux<Chunk> body() {
    return body;
  }

  boolean started() {
    return started.get();
  }
}
