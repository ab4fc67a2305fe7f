package org.clementinepost.node.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.node.exchange.BackendResponse;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Guards against responses that hold a slot since their caller left before they were written. */
final class UnreadResponseTest {
  private static final int OK_STATUS = 200;
  private static final ResponseHead HEAD =
      new ResponseHead(OK_STATUS, Vector.empty(), new BackendServerId("b"), 0);

  private final AtomicInteger ends = new AtomicInteger();
  private final BackendResponse response =
      new BackendResponse(
          HEAD, Flux.just(Chunk.wrap(new byte[1])).doFinally(signal -> ends.incrementAndGet()));

  @Test
  void responseThatCannotBeWrittenIsDiscarded() {
    Mono.from(
            ResponseWriter.sendOrDiscard(
                response, body -> Mono.error(new IllegalStateException("connection closed"))))
        .onErrorComplete()
        .block();
    assertThat(ends).hasValue(1);
  }

  @Test
  void writtenResponseIsReadOnce() {
    Mono.from(ResponseWriter.sendOrDiscard(response, body -> body.then())).block();
    assertThat(ends).hasValue(1);
  }
}
