package org.clementinepost.node.edge;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Ask;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.Results;
import org.clementinepost.node.access.AccessMessage;
import org.clementinepost.node.access.AccessService;
import org.clementinepost.node.directory.DirectoryMessage;
import org.clementinepost.node.directory.DirectoryService;
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.node.metrics.MetricsService;
import org.clementinepost.node.quota.QuotaService;
import org.clementinepost.node.quota.QuotaServiceMessage;
import org.clementinepost.node.routing.RoutingMessage;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.policy.access.IncomingRequest;
import org.clementinepost.policy.routing.Placement;
import org.clementinepost.policy.routing.RetryPolicy;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Processes a request: authorization, quota, placement, attempts with retries, and the response.
 *
 * <p>It keeps no state between requests. The services that it calls make the decisions. It does not
 * depend on HTTP, so another front end can use it.
 */
final class RequestPipeline {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The node itself waits this much longer than the deadline, after the ingress has given up. */
  private static final long NODE_GRACE_MILLIS = 100;

  private static final int FIRST_ERROR_STATUS = 400;

  private static final long LOOKUP_TIMEOUT_MILLIS = 2_500;

  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final Address<AccessMessage> access;
  private final Address<QuotaServiceMessage> quota;
  private final Address<HostMessage> host;
  private final Address<RoutingMessage> routing;
  private final Address<DirectoryMessage> directory;
  private final AttemptExchange attemptExchange;
  private final SecondAttempts secondAttempts;

  RequestPipeline(NodeId self, MonotonicClock clock, Scheduler scheduler, Registry registry) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.access = registry.find(AccessService.NAME);
    this.quota = registry.find(QuotaService.NAME);
    this.host = registry.find(HostService.NAME);
    this.routing = registry.find(RoutingService.NAME);
    this.directory = registry.find(DirectoryService.NAME);
    this.attemptExchange = new AttemptExchange(self, clock, scheduler, registry);
    this.secondAttempts = new SecondAttempts(scheduler, registry.find(MetricsService.NAME));
  }

  /** Processes one request and returns its response or failure. */
  Mono<Either<Failure, BackendResponse>> run(IncomingRequest request, RequestBody body) {
    return Results.then(authorize(request), head -> process(head, body));
  }

  /** Authorizes a request without processing it. */
  Mono<Either<Failure, RequestHead>> authorize(IncomingRequest request) {
    return Ask.of(access, reply -> new AccessMessage.Authorize(request, reply));
  }

  /** Processes a request that has been authorized. */
  Mono<Either<Failure, BackendResponse>> process(RequestHead head, RequestBody body) {
    return endAtDeadline(head, attemptWithinQuota(head, body, deadlineNanos(head)))
        .doOnNext(result -> reportFailedOutgoingCall(head, result));
  }

  /**
   * Fails a request that has no result shortly after its deadline. Each attempt ends by itself
   * before that; this one is for a step of the node that doesn't respond.
   */
  private Mono<Either<Failure, BackendResponse>> endAtDeadline(
      RequestHead head, Mono<Either<Failure, BackendResponse>> result) {
    return result.timeout(
        Duration.ofMillis(head.timeoutMillis() + NODE_GRACE_MILLIS),
        Mono.fromSupplier(() -> Either.left(noResponseOfNode(head))),
        scheduler);
  }

  private static Failure noResponseOfNode(RequestHead head) {
    logger.atWarning().log("event=request-unfinished request=%s", head.requestId());
    return Failure.of(ResultCode.BACKEND_TIMED_OUT, "no result of the node at the deadline");
  }

  /**
   * Reports to the host service that a call of the local backend server to another service failed.
   *
   * <p>A backend server makes such calls without a key, through the node of its own VM.
   */
  private void reportFailedOutgoingCall(RequestHead head, Either<Failure, BackendResponse> result) {
    boolean failed =
        result.fold(failure -> true, response -> response.head().status() >= FIRST_ERROR_STATUS);
    if (failed && head.customer().isEmpty() && head.options().callingService().isDefined()) {
      host.send(new HostMessage.OutgoingCallFailed());
    }
  }

  private Mono<Either<Failure, BackendResponse>> attemptWithinQuota(
      RequestHead head, RequestBody body, long deadlineNanos) {
    if (head.customer().isEmpty()) {
      return placeAndAttempt(head, body, HashSet.empty(), deadlineNanos);
    }
    Mono<Either<Failure, RequestHead>> granted =
        Ask.of(quota, reply -> new QuotaServiceMessage.TakeToken(head, reply));
    return Results.then(
        granted,
        headWithinQuota -> placeAndAttempt(headWithinQuota, body, HashSet.empty(), deadlineNanos));
  }

  private long deadlineNanos(RequestHead head) {
    return clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(head.timeoutMillis());
  }

  private long remainingMillis(long deadlineNanos) {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nowNanos());
  }

  private Mono<Either<Failure, BackendResponse>> placeAndAttempt(
      RequestHead head, RequestBody body, Set<BackendServerId> triedServers, long deadlineNanos) {
    return Results.then(
        placeWithLookup(head, deadlineNanos),
        placement -> {
          long remainingMillis = remainingMillis(deadlineNanos);
          if (remainingMillis <= 0) {
            return Mono.just(Either.left(Failure.of(ResultCode.DEADLINE_PASSED)));
          }
          RequestHead firstAttempt = head.nextAttempt(head.attempt(), remainingMillis);
          return attempt(firstAttempt, body, triedServers, deadlineNanos, placement);
        });
  }

  /** Places an attempt; a placement that arrives after the cancellation is given back. */
  private Mono<Either<Failure, Placement>> place(
      RequestHead head, Set<BackendServerId> triedServers) {
    return Mono.defer(
        () -> {
          AtomicBoolean used = new AtomicBoolean();
          return Ask.<RoutingMessage, Placement>of(
                  routing,
                  reply ->
                      new RoutingMessage.Place(
                          head,
                          triedServers,
                          result -> {
                            if (used.compareAndSet(false, true)) {
                              reply.send(result);
                              return;
                            }
                            result.forEach(placement -> giveBack(placement, head));
                          }))
              .doOnCancel(() -> used.set(true));
        });
  }

  /** Reports that nothing was sent to the server of a placement. */
  private void giveBack(Placement placement, RequestHead head) {
    new AttemptReporter(routing, placement.endpoint(), head, clock)
        .observe(Either.left(Failure.of(ResultCode.DEADLINE_PASSED)));
  }

  private Mono<Either<Failure, BackendResponse>> attempt(
      RequestHead placed,
      RequestBody body,
      Set<BackendServerId> triedServers,
      long deadlineNanos,
      Placement placement) {
    RequestHead head = withAdmissionMode(placed, placement, deadlineNanos);
    if (head.timeoutMillis() <= 0) {
      giveBack(placement, head);
      return Mono.just(Either.left(Failure.of(ResultCode.DEADLINE_PASSED)));
    }
    Mono<AttemptEnd> first = exchange(head, body, triedServers, placement);
    return placement
        .secondAttemptAfterMillis()
        .map(
            delayMillis ->
                secondAttempts.run(
                    delayMillis,
                    first,
                    Mono.defer(
                        () ->
                            secondAttempt(
                                head,
                                body,
                                triedServers.add(placement.endpoint().server()),
                                deadlineNanos)),
                    end -> end.flatMap(ended -> whole(ended, deadlineNanos))))
        .getOrElse(first)
        .flatMap(
            end ->
                retryOrReturn(end.head(), body, end.triedServers(), deadlineNanos, end.result()));
  }

  private Mono<AttemptEnd> exchange(
      RequestHead head, RequestBody body, Set<BackendServerId> triedServers, Placement placement) {
    Set<BackendServerId> nowTried = triedServers.add(placement.endpoint().server());
    return attemptExchange
        .send(placement, head, body)
        .map(result -> new AttemptEnd(head, nowTried, result));
  }

  /** Sends a second attempt to another server; empty if none is permitted. */
  private Mono<AttemptEnd> secondAttempt(
      RequestHead head, RequestBody body, Set<BackendServerId> triedServers, long deadlineNanos) {
    long remainingMillis = remainingMillis(deadlineNanos);
    if (!RetryPolicy.maySendSecondAttempt(
        head, triedServers.size(), body.isReadStarted(), remainingMillis)) {
      return Mono.empty();
    }
    RequestHead second =
        head.nextAttempt(head.attempt() + 1, remainingMillis)
            .withOptions(head.options().withAdmissionMode(AdmissionMode.WAIT_FOR_SLOT));
    return place(second, triedServers)
        .flatMap(
            placed ->
                placed.fold(
                    failure -> Mono.empty(),
                    placement -> {
                      logger.atInfo().log(
                          "event=second-attempt request=%s server=%s",
                          head.requestId(), placement.endpoint().server());
                      return exchange(
                          withAdmissionMode(second, placement, deadlineNanos),
                          body,
                          triedServers,
                          placement);
                    }));
  }

  /** Buffers the response of an attempt, up to the maximum length. */
  private Mono<AttemptEnd> whole(AttemptEnd end, long deadlineNanos) {
    return end.result()
        .fold(
            failure -> Mono.just(end),
            response ->
                attemptExchange
                    .buffer(response, remainingMillis(deadlineNanos))
                    .map(
                        buffered ->
                            new AttemptEnd(
                                end.head(),
                                end.triedServers(),
                                buffered.map(
                                    body -> new BackendResponse(response.head(), body.body())))));
  }

  /**
   * Applies the admission mode of a placement by load queries, and subtracts the time that the
   * queries took.
   */
  private RequestHead withAdmissionMode(RequestHead head, Placement placement, long deadlineNanos) {
    return placement
        .admissionMode()
        .map(
            mode ->
                head.withOptions(head.options().withAdmissionMode(mode))
                    .nextAttempt(head.attempt(), remainingMillis(deadlineNanos)))
        .getOrElse(head);
  }

  /** Places a request; if its service is unknown, waits until the directory has looked it up. */
  private Mono<Either<Failure, Placement>> placeWithLookup(RequestHead head, long deadlineNanos) {
    directory.send(new DirectoryMessage.Lookup(head.service(), Reply.ignored()));
    return place(head, HashSet.empty())
        .flatMap(
            placed ->
                isUnknownService(placed)
                    ? lookUp(head.service(), remainingMillis(deadlineNanos))
                        .flatMap(found -> found ? place(head, HashSet.empty()) : Mono.just(placed))
                    : Mono.just(placed));
  }

  private static boolean isUnknownService(Either<Failure, Placement> placed) {
    return placed.isLeft() && placed.getLeft().code() == ResultCode.NO_BACKEND_SERVER;
  }

  private Mono<Boolean> lookUp(ServiceId service, long remainingMillis) {
    return Mono.<Boolean>create(
            sink -> {
              if (!directory.send(new DirectoryMessage.Lookup(service, sink::success)).accepted()) {
                sink.success(false);
              }
            })
        .timeout(
            Duration.ofMillis(Math.min(LOOKUP_TIMEOUT_MILLIS, remainingMillis)),
            Mono.just(false),
            scheduler);
  }

  private Mono<Either<Failure, BackendResponse>> retryOrReturn(
      RequestHead head,
      RequestBody body,
      Set<BackendServerId> triedServers,
      long deadlineNanos,
      Either<Failure, BackendResponse> result) {
    if (!mayRetry(
        head, triedServers.size(), result, body.isReadStarted(), remainingMillis(deadlineNanos))) {
      return attemptAtAnyServer(head, body, deadlineNanos, result);
    }
    return result.fold(
        failure -> retry(head, body, triedServers, deadlineNanos, result),
        response -> bufferThenRetry(head, body, triedServers, deadlineNanos, response));
  }

  /**
   * Buffers a backend server's error response and retries the request.
   *
   * <p>The buffered response is returned if the retry is not placed or brings no response. A
   * response that is too long to buffer is returned without a retry.
   */
  private Mono<Either<Failure, BackendResponse>> bufferThenRetry(
      RequestHead head,
      RequestBody body,
      Set<BackendServerId> triedServers,
      long deadlineNanos,
      BackendResponse response) {
    return attemptExchange
        .buffer(response, remainingMillis(deadlineNanos))
        .flatMap(
            result ->
                result.fold(
                    failure ->
                        retryOrReturn(
                            head, body, triedServers, deadlineNanos, Either.left(failure)),
                    buffered -> {
                      BackendResponse copy = new BackendResponse(response.head(), buffered.body());
                      return buffered.complete()
                          ? retry(head, body, triedServers, deadlineNanos, Either.right(copy))
                          : Mono.just(Either.right(copy));
                    }));
  }

  private Mono<Either<Failure, BackendResponse>> retry(
      RequestHead head,
      RequestBody body,
      Set<BackendServerId> triedServers,
      long deadlineNanos,
      Either<Failure, BackendResponse> previousResult) {
    boolean reachedServer =
        previousResult.fold(RetryPolicy::mayHaveReachedServer, response -> true);
    RequestHead next =
        head.nextAttempt(head.attempt() + (reachedServer ? 1 : 0), remainingMillis(deadlineNanos))
            .withOptions(
                head.options()
                    .withAdmissionMode(
                        RetryPolicy.nextAdmissionMode(
                            head.options().admissionMode(), triedServers.size())));
    return place(next, triedServers)
        .flatMap(
            placed ->
                placed.fold(
                    failure -> attemptAtAnyServer(head, body, deadlineNanos, previousResult),
                    placement ->
                        attempt(next, body, triedServers, deadlineNanos, placement)
                            .map(result -> AttemptEnd.moreInformative(previousResult, result))));
  }

  /**
   * Makes another attempt in admission mode {@code ANY_SERVER} if the previous one was refused
   * before it reached a backend server; otherwise returns the previous result.
   *
   * <p>Even a backend server that fails most requests may serve this one; returning the refusal
   * never does.
   */
  private Mono<Either<Failure, BackendResponse>> attemptAtAnyServer(
      RequestHead head,
      RequestBody body,
      long deadlineNanos,
      Either<Failure, BackendResponse> previousResult) {
    boolean refused =
        previousResult.isLeft()
            && !RetryPolicy.mayHaveReachedServer(previousResult.getLeft())
            && head.options().admissionMode() != AdmissionMode.ANY_SERVER;
    if (!refused || body.isReadStarted() || remainingMillis(deadlineNanos) <= 0) {
      return Mono.just(previousResult);
    }
    RequestHead last =
        head.nextAttempt(head.attempt(), remainingMillis(deadlineNanos))
            .withOptions(head.options().withAdmissionMode(AdmissionMode.ANY_SERVER));
    return place(last, HashSet.empty())
        .flatMap(
            placed ->
                placed.fold(
                    failure -> Mono.just(previousResult),
                    placement -> attempt(last, body, HashSet.empty(), deadlineNanos, placement)));
  }

  private static boolean mayRetry(
      RequestHead head,
      int serversTried,
      Either<Failure, BackendResponse> result,
      boolean bodyStarted,
      long remainingMillis) {
    return result.fold(
        failure ->
            RetryPolicy.mayRetryFailure(head, serversTried, failure, bodyStarted, remainingMillis),
        response ->
            RetryPolicy.mayRetryAnswer(
                head, serversTried, response.head().status(), bodyStarted, remainingMillis));
  }
}
