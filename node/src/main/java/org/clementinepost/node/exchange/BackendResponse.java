package org.clementinepost.node.exchange;

import org.clementinepost.api.Chunk;
import org.clementinepost.api.ResponseHead;
import reactor.core.publisher.Flux;

/**
 * A backend server's answer.
 *
 * @param head its head
 * @param body its body, to be subscribed to once; it fails when the answer is not whole
 */
public record BackendResponse(ResponseHead head, Flux<Chunk> body) {
  /** Lets go of an answer that nobody wants. */
  public void discard() {
    body.subscribe().dispose();
  }
}
