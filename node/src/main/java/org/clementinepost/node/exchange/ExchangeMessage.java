package org.clementinepost.node.exchange;

import io.vavr.control.Either;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** A message to {@link ExchangeService}. */
public sealed interface ExchangeMessage {
  /**
   * Sends a request to a backend server of this host.
   *
   * @param server the backend server
   * @param head the head of the request
   * @param body the body of the request; it isn't read before the request is admitted
   * @param cancelled completes when the response is no longer needed
   * @param reply receives the response
   */
  record Send(
      BackendServerId server,
      RequestHead head,
      Flux<Chunk> body,
      Mono<Void> cancelled,
      Reply<Either<Failure, BackendResponse>> reply)
      implements ExchangeMessage {}
}
