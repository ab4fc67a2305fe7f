package org.clementinepost.node.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.node.access.AccessMessage;
import org.clementinepost.node.access.AccessService;
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.exchange.BodyFailedException;
import org.clementinepost.node.exchange.ExchangeMessage;
import org.clementinepost.node.exchange.ExchangeService;
import org.clementinepost.node.routing.RoutingMessage;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.policy.access.IncomingRequest;
import org.clementinepost.policy.routing.Placement;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Checks retries and the choice among the results of attempts, with services faked by the test. */
final class RequestPipelineTest {
  private static final NodeId SELF = new NodeId("self");
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final int ERROR_STATUS = 500;
  private static final int OK_STATUS = 200;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int MAX_SERVERS_TRIED = 6;
  private static final int LONG_BODY_BYTES = 100 << 10;

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final List<Either<Failure, BackendResponse>> results = new ArrayList<>();
  private Vector<Option<Either<Failure, BackendResponse>>> attemptResults = Vector.empty();
  private int placements;
  private int latePlacement;
  private Runnable lateReply = () -> {};
  private final List<String> placementsGivenBack = new ArrayList<>();
  private int sentAttempts;
  private int cancelledAttempts;
  private Option<Long> secondAttemptAfterMillis = Option.none();

  /** Runs an idempotent request; an attempt whose result is none gets no response. */
  private void run(
      int maxPlacements, Vector<Option<Either<Failure, BackendResponse>>> resultsOfAttempts) {
    attemptResults = resultsOfAttempts;
    Kernel kernel =
        Kernel.builder()
            .scheduler(scheduler)
            .clock(MonotonicClock.of(scheduler))
            .service(service(AccessService.NAME, this::access))
            .service(service(RoutingService.NAME, message -> route(message, maxPlacements)))
            .service(service(ExchangeService.NAME, this::exchange))
            .start();
    RequestPipeline pipeline =
        new RequestPipeline(SELF, MonotonicClock.of(scheduler), scheduler, kernel);
    IncomingRequest request =
        new IncomingRequest(
            new RequestId("r"),
            Option.none(),
            "GET",
            "/",
            Vector.empty(),
            Option.none(),
            Option.none(),
            RequestHead.NO_BODY);
    pipeline.run(request, RequestBody.empty()).subscribe(results::add);
    scheduler.advanceTimeBy(Duration.ofMillis(2 * TIMEOUT_MILLIS));
  }

  private static <M> ServiceDefinition<M> service(ServiceName<M> name, Consumer<M> receiver) {
    return new ServiceDefinition<>(name, 100, context -> receiver::accept);
  }

  private void access(AccessMessage message) {
    if (message instanceof AccessMessage.Authorize authorize) {
      RequestHead head =
          new RequestHead(
              authorize.request().requestId(),
              1,
              Option.none(),
              SERVICE,
              "GET",
              "/",
              Vector.empty(),
              true,
              Option.none(),
              TIMEOUT_MILLIS,
              RequestHead.NO_BODY);
      authorize.reply().send(Either.right(head));
    }
  }

  private void route(RoutingMessage message, int maxPlacements) {
    if (message instanceof RoutingMessage.Place place) {
      placements++;
      BackendServerId server = new BackendServerId("b" + placements);
      Endpoint endpoint = new Endpoint(server, SERVICE, SELF, new FailureDomainId("a"), 1);
      if (placements == latePlacement) {
        lateReply = () -> place.reply().send(Either.right(new Placement(endpoint)));
        return;
      }
      place
          .reply()
          .send(
              placements > maxPlacements
                  ? Either.left(Failure.of(ResultCode.NO_BACKEND_SERVER))
                  : Either.right(new Placement(endpoint, Option.none(), secondAttemptAfterMillis)));
    }
    if (message instanceof RoutingMessage.AttemptEnded ended
        && ended.failure().exists(failure -> failure.code() == ResultCode.DEADLINE_PASSED)) {
      placementsGivenBack.add(ended.endpoint().server().value());
    }
    if (message instanceof RoutingMessage.HostedRequestEnded ended) {
      ended.reply().send(HostReport.HEALTHY);
    }
  }

  private void exchange(ExchangeMessage message) {
    ExchangeMessage.Send send = (ExchangeMessage.Send) message;
    send.cancelled().doOnTerminate(() -> cancelledAttempts++).subscribe();
    attemptResults.get(sentAttempts++).forEach(send.reply()::send);
  }

  private static Option<Either<Failure, BackendResponse>> response(int status, Flux<Chunk> body) {
    ResponseHead head = new ResponseHead(status, Vector.empty(), new BackendServerId("b"), 0);
    return Option.some(Either.right(new BackendResponse(head, body)));
  }

  private static Option<Either<Failure, BackendResponse>> response(int status, String body) {
    return response(status, Flux.just(Chunk.wrap(body.getBytes(StandardCharsets.US_ASCII))));
  }

  private static Option<Either<Failure, BackendResponse>> failure(ResultCode code) {
    return Option.some(Either.left(Failure.of(code)));
  }

  private void assertResponse(int status, String body) {
    assertThat(results).hasSize(1);
    BackendResponse response = results.get(0).get();
    assertThat(response.head().status()).isEqualTo(status);
    StringBuilder text = new StringBuilder();
    response
        .body()
        .subscribe(chunk -> text.append(new String(chunk.bytes(), StandardCharsets.US_ASCII)));
    assertThat(text).hasToString(body);
  }

  @Test
  void returnsServerErrorWhenNextAttemptIsRefused() {
    run(2, Vector.of(response(ERROR_STATUS, "mine"), failure(ResultCode.HOST_QUEUE_FULL)));

    assertResponse(ERROR_STATUS, "mine");
  }

  @Test
  void returnsServerErrorWhenNextAttemptTimesOut() {
    run(2, Vector.of(response(ERROR_STATUS, "mine"), Option.none()));

    assertResponse(ERROR_STATUS, "mine");
  }

  @Test
  void returnsServerErrorWhenNoOtherServerIsAvailable() {
    run(1, Vector.of(response(ERROR_STATUS, "mine")));

    assertResponse(ERROR_STATUS, "mine");
  }

  @Test
  void replacesServerErrorByNextResponse() {
    run(2, Vector.of(response(ERROR_STATUS, "mine"), response(OK_STATUS, "good")));

    assertResponse(OK_STATUS, "good");
  }

  @Test
  void returnsServerErrorTooLongToBuffer() {
    String body = "x".repeat(LONG_BODY_BYTES);
    run(2, Vector.of(response(ERROR_STATUS, body), response(OK_STATUS, "good")));

    assertResponse(ERROR_STATUS, body);
    assertThat(sentAttempts).isEqualTo(1);
  }

  @Test
  void retriesWhenBodyOfServerErrorIsTruncated() {
    Flux<Chunk> truncatedBody =
        Flux.error(new BodyFailedException(Failure.of(ResultCode.BACKEND_ANSWER_LOST)));
    run(2, Vector.of(response(ERROR_STATUS, truncatedBody), response(OK_STATUS, "good")));

    assertResponse(OK_STATUS, "good");
  }

  /** Guards against requests that every server refuses until their deadline. */
  @Test
  void requestRefusedByEveryServerIsRejectedAtOnce() {
    run(100, Vector.fill(100, () -> failure(ResultCode.HOST_QUEUE_FULL)));

    assertThat(results.get(0).getLeft().code()).isEqualTo(ResultCode.HOST_QUEUE_FULL);
    assertThat(sentAttempts).isLessThanOrEqualTo(2 * MAX_SERVERS_TRIED);
  }

  /** Guards against a slow server that takes up the whole time of an idempotent request. */
  @Test
  void secondAttemptRespondsInPlaceOfOneWithoutResponse() {
    secondAttemptAfterMillis = Option.some(100L);
    run(2, Vector.of(Option.none(), response(OK_STATUS, "second")));

    assertResponse(OK_STATUS, "second");
    assertThat(cancelledAttempts).isEqualTo(1);
  }

  /** Guards against a refused second attempt that ends the request. */
  @Test
  void failureOfSecondAttemptWaitsForFirst() {
    secondAttemptAfterMillis = Option.some(100L);
    run(2, Vector.of(Option.none(), failure(ResultCode.BACKEND_ANSWER_LOST)));

    assertThat(results.get(0).getLeft().code()).isEqualTo(ResultCode.BACKEND_TIMED_OUT);
    assertThat(sentAttempts).isEqualTo(2);
  }

  /** Guards against second attempts that cost capacity although the first one responded. */
  @Test
  void responseBeforeDelayNeedsNoSecondAttempt() {
    secondAttemptAfterMillis = Option.some(100L);
    run(2, Vector.of(response(OK_STATUS, "first")));

    assertResponse(OK_STATUS, "first");
    assertThat(sentAttempts).isEqualTo(1);
    assertThat(cancelledAttempts).isZero();
  }

  /** Guards against servers that seem busy for good with attempts that were never sent. */
  @Test
  void placementThatArrivesAfterTheEndOfTheRequestIsGivenBack() {
    secondAttemptAfterMillis = Option.some(100L);
    latePlacement = 2;
    run(2, Vector.of(Option.none()));
    lateReply.run();
    scheduler.advanceTimeBy(Duration.ofMillis(1));

    assertThat(sentAttempts).isEqualTo(1);
    assertThat(placementsGivenBack).containsExactly("b2");
  }

  @Test
  void keepsFirstFailureThatMayHaveRunWhenRetryIsRefused() {
    run(
        2,
        Vector.of(
            failure(ResultCode.BACKEND_ANSWER_LOST), failure(ResultCode.BACKEND_SERVER_DRAINING)));

    assertThat(results.get(0).getLeft().code()).isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
  }
}
