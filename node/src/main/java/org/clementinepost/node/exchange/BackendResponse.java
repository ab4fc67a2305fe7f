package org.clementinepost.node.exchange;

import org.clementinepost.api.Chunk;
import org.clementinepost.api.ResponseHead;
import reactor.core.publisher.Flux;

/**
 * The response of a backend server.
 *
 * @param head the status and the headers
 * @param body the body, to be subscribed to only once; it fails if the response is incomplete
 */
public record BackendResponse(ResponseHead head, Flux<Chunk> body) {
  /** Releases the resources of a response that is no longer needed. */
  public void discard() {
    body.subscribe().dispose();
  }
}
