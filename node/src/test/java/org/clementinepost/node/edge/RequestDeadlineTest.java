package org.clementinepost.node.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.node.access.AccessMessage;
import org.clementinepost.node.access.AccessService;
import org.clementinepost.node.directory.DirectoryMessage;
import org.clementinepost.node.directory.DirectoryService;
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.exchange.ExchangeMessage;
import org.clementinepost.node.exchange.ExchangeService;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.quota.QuotaService;
import org.clementinepost.node.quota.QuotaServiceMessage;
import org.clementinepost.node.routing.RoutingMessage;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.policy.access.IncomingRequest;
import org.clementinepost.policy.routing.Placement;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Checks that requests end at their deadline when the services of the node respond late. */
final class RequestDeadlineTest {
  private static final NodeId SELF = new NodeId("self");
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final long TIMEOUT_MILLIS = 3_000;
  private static final long SLACK_MILLIS = 100;
  private static final Endpoint REMOTE_ENDPOINT =
      new Endpoint(
          new BackendServerId("b"), SERVICE, new NodeId("far"), new FailureDomainId("a"), 5);

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final List<Either<Failure, BackendResponse>> results = new ArrayList<>();
  private final List<Reply<Boolean>> lookupReplies = new ArrayList<>();
  private final List<Reply<Either<Failure, RequestHead>>> tokenReplies = new ArrayList<>();
  private final List<PeerServiceMessage.Exchange> sentExchanges = new ArrayList<>();
  private boolean serviceKnown = true;
  private boolean routingResponds = true;
  private Option<CustomerId> customer = Option.none();

  private void start() {
    Kernel kernel =
        Kernel.builder()
            .scheduler(scheduler)
            .clock(MonotonicClock.of(scheduler))
            .service(service(AccessService.NAME, this::access))
            .service(service(QuotaService.NAME, this::quota))
            .service(service(RoutingService.NAME, this::place))
            .service(service(DirectoryService.NAME, this::lookUp))
            .service(service(HostService.NAME, (HostMessage message) -> {}))
            .service(service(ExchangeService.NAME, (ExchangeMessage message) -> {}))
            .service(service(PeerService.NAME, this::send))
            .start();
    new RequestPipeline(SELF, MonotonicClock.of(scheduler), scheduler, kernel)
        .run(request(), RequestBody.replayable(Chunk.wrap(new byte[0])))
        .subscribe(results::add);
    advanceTime(0);
  }

  private static <M> ServiceDefinition<M> service(ServiceName<M> name, Behaviour<M> behaviour) {
    return new ServiceDefinition<>(name, 100, context -> behaviour);
  }

  private static IncomingRequest request() {
    return new IncomingRequest(
        new RequestId("r"),
        Option.none(),
        "GET",
        "/",
        Vector.empty(),
        Option.none(),
        Option.some(TIMEOUT_MILLIS),
        RequestHead.NO_BODY);
  }

  private void access(AccessMessage message) {
    if (message instanceof AccessMessage.Authorize authorize) {
      authorize.reply().send(Either.right(head(authorize.request())));
    }
  }

  private RequestHead head(IncomingRequest request) {
    return new RequestHead(
        request.requestId(),
        1,
        customer,
        SERVICE,
        request.method(),
        request.uri(),
        request.headers(),
        true,
        Option.none(),
        TIMEOUT_MILLIS,
        request.bodyBytes());
  }

  private void quota(QuotaServiceMessage message) {
    if (message instanceof QuotaServiceMessage.TakeToken take) {
      tokenReplies.add(take.reply());
    }
  }

  private void place(RoutingMessage message) {
    if (message instanceof RoutingMessage.Place place && routingResponds) {
      place
          .reply()
          .send(
              serviceKnown
                  ? Either.right(new Placement(REMOTE_ENDPOINT))
                  : Either.left(Failure.of(ResultCode.NO_BACKEND_SERVER)));
    }
  }

  private void lookUp(DirectoryMessage message) {
    if (message instanceof DirectoryMessage.Lookup lookup) {
      lookupReplies.add(lookup.reply());
    }
  }

  private void send(PeerServiceMessage message) {
    if (message instanceof PeerServiceMessage.Exchange exchange) {
      sentExchanges.add(exchange);
    }
  }

  private void advanceTime(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  private Vector<ResultCode> resultCodes() {
    return Vector.ofAll(results).map(result -> result.getLeft().code());
  }

  @Test
  void timesOutAtDeadlineWhenHostDoesNotRespond() {
    start();
    advanceTime(TIMEOUT_MILLIS + SLACK_MILLIS);

    assertThat(resultCodes()).containsExactly(ResultCode.BACKEND_TIMED_OUT);
  }

  /** Guards against requests that get no response when a task of the node has stopped. */
  @Test
  void timesOutWhenQuotaServiceDoesNotRespond() {
    customer = Option.some(new CustomerId("c"));
    start();
    advanceTime(TIMEOUT_MILLIS + SLACK_MILLIS);

    assertThat(resultCodes()).containsExactly(ResultCode.BACKEND_TIMED_OUT);

    tokenReplies.forEach(reply -> reply.send(Either.right(head(request()))));
    advanceTime(0);

    assertThat(sentExchanges).isEmpty();
  }

  @Test
  void timesOutWhenRoutingServiceDoesNotRespond() {
    routingResponds = false;
    start();
    advanceTime(TIMEOUT_MILLIS + SLACK_MILLIS);

    assertThat(resultCodes()).containsExactly(ResultCode.BACKEND_TIMED_OUT);
  }

  @Test
  void subtractsLookupTimeFromRequestTimeout() {
    serviceKnown = false;
    start();
    advanceTime(2_000);
    serviceKnown = true;
    lookupReplies.forEach(reply -> reply.send(true));
    advanceTime(0);

    assertThat(sentExchanges)
        .singleElement()
        .matches(exchange -> exchange.head().timeoutMillis() == 1_000);

    advanceTime(1_000 + SLACK_MILLIS);

    assertThat(resultCodes()).containsExactly(ResultCode.BACKEND_TIMED_OUT);
  }

  @Test
  void lookupEndsAtRequestDeadline() {
    serviceKnown = false;
    customer = Option.some(new CustomerId("c"));
    start();
    advanceTime(2_000);
    tokenReplies.forEach(reply -> reply.send(Either.right(head(request()))));
    advanceTime(1_000 + SLACK_MILLIS);

    assertThat(resultCodes()).containsExactly(ResultCode.NO_BACKEND_SERVER);
  }
}
