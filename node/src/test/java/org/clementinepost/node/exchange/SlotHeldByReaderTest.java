package org.clementinepost.node.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.kernel.Delivery;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.policy.host.Admission;
import org.clementinepost.testing.backend.RawServerStandIn.RawResponse;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;

/**
 * Guards against slots that are held by responses on their way to the caller, while the backend
 * server is idle and requests wait for it.
 */
final class SlotHeldByReaderTest {
  private static final int BODY_BYTES = 90_000;
  private static final int OK_STATUS = 200;
  private static final BackendServerId SERVER = new BackendServerId("b");
  private static final Admission ADMISSION =
      new Admission(1, SERVER, new NetworkAddress("127.0.0.1", 80));

  private final List<HostMessage> reports = new ArrayList<>();

  private BackendResponse observe(Option<Long> wholeBytes, BufferBudget budget) {
    RequestEndReporter reporter =
        new RequestEndReporter(
            message -> {
              reports.add(message);
              return Delivery.ACCEPTED;
            },
            ADMISSION,
            () -> 0,
            budget);
    ResponseHead head = new ResponseHead(OK_STATUS, Vector.empty(), SERVER, 0);
    Flux<Chunk> body = Flux.just(Chunk.wrap(new byte[BODY_BYTES]));
    return reporter.observe(new ReceivedResponse(new BackendResponse(head, body), wholeBytes));
  }

  @Test
  void slotIsFreeOnceTheServerHasResponded() {
    RawResponse response =
        new RawResponse(
            "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(BODY_BYTES, "x".repeat(BODY_BYTES)),
            "",
            0);
    try (ExchangeFixture exchange = ExchangeFixture.start(HttpDialect.DEFAULT, response)) {
      Either<Failure, BackendResponse> unread =
          exchange.request(ExchangeFixture.FAR_DEADLINE_MILLIS);
      assertThat(exchange.endFailure(0)).isEmpty();
      assertThat(ExchangeFixture.text(unread)).hasSize(BODY_BYTES);
    }
  }

  @Test
  void slotIsHeldWhileTheServerIsResponding() {
    BackendResponse response = observe(Option.none(), BufferBudget.PROCESS);
    assertThat(reports).isEmpty();
    response.body().blockLast();
    assertThat(reports).hasSize(1);
  }

  /** Guards against unread responses that together exhaust the memory of the host. */
  @Test
  void slotIsHeldByUnreadResponseWhenTheBudgetIsSpent() {
    BufferBudget budget = new BufferBudget(BODY_BYTES);
    BackendResponse first = observe(Option.some((long) BODY_BYTES), budget);
    assertThat(reports).hasSize(1);
    BackendResponse second = observe(Option.some((long) BODY_BYTES), budget);
    assertThat(reports).hasSize(1);
    second.body().blockLast();
    assertThat(reports).hasSize(2);
    first.body().blockLast();
    first.body().blockLast();
    assertThat(budget.reservedBytes()).isZero();
  }
}
