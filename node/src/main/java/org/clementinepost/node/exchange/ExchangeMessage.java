package org.clementinepost.node.exchange;

import io.vavr.control.Either;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** What the exchange service is told. */
public sealed interface ExchangeMessage {
  /**
   * Sends a request to a backend server of this host.
   *
   * @param server the backend server
   * @param head the request
   * @param body its body; nothing is read of it before the request is admitted
   * @param cancelled ends when the answer is no longer wanted
   * @param reply takes the answer
   */
  record Send(
      BackendServerId server,
      RequestHead head,
      Flux<Chunk> body,
      Mono<Void> cancelled,
      Reply<Either<Failure, BackendResponse>> reply)
      implements ExchangeMessage {}
}
