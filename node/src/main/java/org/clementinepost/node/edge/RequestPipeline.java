package org.clementinepost.node.edge;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.RunState;
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
import org.clementinepost.node.exchange.Answer;
import org.clementinepost.node.exchange.BodyFailedException;
import org.clementinepost.node.exchange.ExchangeMessage;
import org.clementinepost.node.exchange.ExchangeService;
import org.clementinepost.node.exchange.Exchanges;
import org.clementinepost.node.exchange.Gathering;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.quota.QuotaService;
import org.clementinepost.node.quota.QuotaServiceMessage;
import org.clementinepost.node.routing.HostReports;
import org.clementinepost.node.routing.RoutingMessage;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.policy.access.IncomingRequest;
import org.clementinepost.policy.routing.Placement;
import org.clementinepost.policy.routing.RetryPolicy;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Takes a request through the node: access, placement, the attempts, and the answer.
 *
 * <p>It holds no state but that of its one request. Whatever is decided is decided by the services
 * that it asks; it knows nothing of HTTP, so that another front end can use it.
 */
final class RequestPipeline {
  /** What an ingress waits for the host's word beyond the deadline, which the host keeps itself. */
  private static final long HOST_GRACE_MILLIS = 20;

  private static final int FIRST_ERROR_STATUS = 400;

  /** Up to this length a backend server's error is kept while another attempt is made. */
  private static final int MAX_KEPT_BYTES = 64 << 10;

  private static final long LOOK_UP_LIMIT_MILLIS = 2_500;

  private final NodeId self;
  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final Address<AccessMessage> access;
  private final Address<QuotaServiceMessage> quota;
  private final Address<HostMessage> host;
  private final Address<RoutingMessage> routing;
  private final Address<DirectoryMessage> directory;
  private final Address<ExchangeMessage> exchanges;
  private final Address<PeerServiceMessage> peers;

  RequestPipeline(NodeId self, MonotonicClock clock, Scheduler scheduler, Registry registry) {
    this.self = self;
    this.clock = clock;
    this.scheduler = scheduler;
    this.access = registry.find(AccessService.NAME);
    this.quota = registry.find(QuotaService.NAME);
    this.host = registry.find(HostService.NAME);
    this.routing = registry.find(RoutingService.NAME);
    this.directory = registry.find(DirectoryService.NAME);
    this.exchanges = registry.find(ExchangeService.NAME);
    this.peers = registry.find(PeerService.NAME);
  }

  /** Runs one request. */
  Mono<Either<Failure, Answer>> run(IncomingRequest request, UploadBody body) {
    Mono<Either<Failure, RequestHead>> admitted =
        Ask.of(access, reply -> new AccessMessage.Authorize(request, reply));
    return Results.then(
        admitted,
        head ->
            withinQuota(head, body, deadlineNanos(head))
                .doOnNext(answer -> tellFailedCall(head, answer)));
  }

  /** A backend server calls others without a key, through the node of its own VM. */
  private void tellFailedCall(RequestHead head, Either<Failure, Answer> answer) {
    boolean failed =
        answer.fold(failure -> true, whole -> whole.head().status() >= FIRST_ERROR_STATUS);
    if (failed && head.customer().isEmpty() && head.options().callingService().isDefined()) {
      host.send(new HostMessage.OutgoingCallFailed());
    }
  }

  private Mono<Either<Failure, Answer>> withinQuota(
      RequestHead head, UploadBody body, long deadlineNanos) {
    if (head.customer().isEmpty()) {
      return attempt(head, body, HashSet.empty(), deadlineNanos);
    }
    Mono<Either<Failure, RequestHead>> granted =
        Ask.of(quota, reply -> new QuotaServiceMessage.TakeToken(head, reply));
    return Results.then(granted, allowed -> attempt(allowed, body, HashSet.empty(), deadlineNanos));
  }

  private long deadlineNanos(RequestHead head) {
    return clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(head.timeoutMillis());
  }

  private long remainingMillis(long deadlineNanos) {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nowNanos());
  }

  private Mono<Either<Failure, Answer>> attempt(
      RequestHead head, UploadBody body, Set<BackendServerId> tried, long deadlineNanos) {
    return Results.then(
        placeFirst(head, deadlineNanos),
        placement -> {
          long remainingMillis = remainingMillis(deadlineNanos);
          if (remainingMillis <= 0) {
            return Mono.just(Either.left(Failure.of(ResultCode.DEADLINE_PASSED)));
          }
          RequestHead first = head.nextAttempt(head.attempt(), remainingMillis);
          return attempt(first, body, tried, deadlineNanos, placement);
        });
  }

  private Mono<Either<Failure, Placement>> place(RequestHead head, Set<BackendServerId> tried) {
    return Ask.of(routing, reply -> new RoutingMessage.Place(head, tried, reply));
  }

  private Mono<Either<Failure, Answer>> attempt(
      RequestHead head,
      UploadBody body,
      Set<BackendServerId> tried,
      long deadlineNanos,
      Placement placement) {
    Set<BackendServerId> nowTried = tried.add(placement.endpoint().server());
    return exchange(placement, head, body)
        .flatMap(answer -> answered(head, body, nowTried, deadlineNanos, answer));
  }

  /** Places a request; the first ones of a service wait until the directory has looked it up. */
  private Mono<Either<Failure, Placement>> placeFirst(RequestHead head, long deadlineNanos) {
    directory.send(new DirectoryMessage.Lookup(head.service(), Reply.ignored()));
    return place(head, HashSet.empty())
        .flatMap(
            placed ->
                isUnknownService(placed)
                    ? lookUp(head.service(), remainingMillis(deadlineNanos))
                        .flatMap(known -> known ? place(head, HashSet.empty()) : Mono.just(placed))
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
            Duration.ofMillis(Math.min(LOOK_UP_LIMIT_MILLIS, remainingMillis)),
            Mono.just(false),
            scheduler);
  }

  private Mono<Either<Failure, Answer>> answered(
      RequestHead head,
      UploadBody body,
      Set<BackendServerId> tried,
      long deadlineNanos,
      Either<Failure, Answer> answer) {
    if (!mayFollow(head, tried.size(), answer, body.started(), remainingMillis(deadlineNanos))) {
      return lastResort(head, body, deadlineNanos, answer);
    }
    return answer.fold(
        failure -> follow(head, body, tried, deadlineNanos, answer),
        whole -> replace(head, body, tried, deadlineNanos, whole));
  }

  /**
   * Tries to replace a backend server's answer by a better one.
   *
   * <p>The answer is kept meanwhile, since the attempt that follows may find no place or no answer.
   * One that is too long to be kept is delivered.
   */
  private Mono<Either<Failure, Answer>> replace(
      RequestHead head,
      UploadBody body,
      Set<BackendServerId> tried,
      long deadlineNanos,
      Answer answer) {
    return gathered(answer, remainingMillis(deadlineNanos))
        .flatMap(
            result ->
                result.fold(
                    failure -> answered(head, body, tried, deadlineNanos, Either.left(failure)),
                    read -> {
                      Answer kept = new Answer(answer.head(), read.body());
                      return read.whole()
                          ? follow(head, body, tried, deadlineNanos, Either.right(kept))
                          : Mono.just(Either.right(kept));
                    }));
  }

  private Mono<Either<Failure, Gathering.Gathered>> gathered(Answer answer, long remainingMillis) {
    return Gathering.of(answer.body(), MAX_KEPT_BYTES, Long.MAX_VALUE)
        .map(Either::<Failure, Gathering.Gathered>right)
        .timeout(Duration.ofMillis(remainingMillis + HOST_GRACE_MILLIS), scheduler)
        .onErrorResume(
            TimeoutException.class,
            error -> Mono.just(Either.left(Failure.of(ResultCode.BACKEND_TIMED_OUT))))
        .onErrorResume(error -> Mono.just(Either.left(BodyFailedException.failureOf(error))));
  }

  private Mono<Either<Failure, Answer>> follow(
      RequestHead head,
      UploadBody body,
      Set<BackendServerId> tried,
      long deadlineNanos,
      Either<Failure, Answer> answer) {
    boolean reached = answer.fold(RetryPolicy::mayHaveReachedServer, whole -> true);
    RequestHead next =
        head.nextAttempt(head.attempt() + (reached ? 1 : 0), remainingMillis(deadlineNanos))
            .withOptions(head.options().withAdmissionMode(RetryPolicy.admissionMode(tried.size())));
    return place(next, tried)
        .flatMap(
            placed ->
                placed.fold(
                    nobody -> lastResort(head, body, deadlineNanos, answer),
                    placement ->
                        attempt(next, body, tried, deadlineNanos, placement)
                            .map(second -> moreTelling(answer, second))));
  }

  /** A backend server that fails most requests is still better than none. */
  private Mono<Either<Failure, Answer>> lastResort(
      RequestHead head, UploadBody body, long deadlineNanos, Either<Failure, Answer> answer) {
    boolean refused =
        answer.isLeft()
            && !RetryPolicy.mayHaveReachedServer(answer.getLeft())
            && head.options().admissionMode() != AdmissionMode.ANY_SERVER;
    if (!refused || body.started() || remainingMillis(deadlineNanos) <= 0) {
      return Mono.just(answer);
    }
    RequestHead last =
        head.nextAttempt(head.attempt(), remainingMillis(deadlineNanos))
            .withOptions(head.options().withAdmissionMode(AdmissionMode.ANY_SERVER));
    return place(last, HashSet.empty())
        .flatMap(
            placed ->
                placed.fold(
                    nobody -> Mono.just(answer),
                    placement -> attempt(last, body, HashSet.empty(), deadlineNanos, placement)));
  }

  private static boolean mayFollow(
      RequestHead head,
      int places,
      Either<Failure, Answer> answer,
      boolean bodyStarted,
      long remainingMillis) {
    return answer.fold(
        failure -> RetryPolicy.mayRetryFailure(head, places, failure, bodyStarted, remainingMillis),
        whole ->
            RetryPolicy.mayRetryAnswer(
                head, places, whole.head().status(), bodyStarted, remainingMillis));
  }

  /**
   * A backend server's own answer tells more than none; and a refusal of the next attempt does not
   * make the one before not run.
   */
  private static Either<Failure, Answer> moreTelling(
      Either<Failure, Answer> first, Either<Failure, Answer> second) {
    if (second.isRight() || first.isRight()) {
      return second.isRight() ? second : first;
    }
    boolean secondMayHaveRun = second.getLeft().runState() != RunState.NOT_RUN;
    boolean firstMayHaveRun = first.getLeft().runState() != RunState.NOT_RUN;
    return secondMayHaveRun || !firstMayHaveRun ? second : first;
  }

  private Mono<Either<Failure, Answer>> exchange(
      Placement placement, RequestHead head, UploadBody body) {
    Endpoint endpoint = placement.endpoint();
    AttemptEnd end = new AttemptEnd(routing, endpoint, clock);
    return ask(endpoint, head, body)
        .timeout(Duration.ofMillis(head.timeoutMillis() + HOST_GRACE_MILLIS), scheduler)
        .onErrorResume(
            TimeoutException.class,
            error -> Mono.just(Either.left(Failure.of(ResultCode.BACKEND_TIMED_OUT))))
        .map(answer -> end.watch(answer))
        .doOnCancel(end::cancelled);
  }

  private Mono<Either<Failure, Answer>> ask(Endpoint endpoint, RequestHead head, UploadBody body) {
    if (endpoint.host().equals(self)) {
      return HostReports.add(
          routing,
          clock,
          new RoutingMessage.Serving(endpoint.server(), endpoint.service(), self),
          Exchanges.ask(
              exchanges,
              (cancelled, reply) ->
                  new ExchangeMessage.Send(
                      endpoint.server(), head, body.body(), cancelled, reply)));
    }
    return Exchanges.ask(
        peers,
        (cancelled, reply) ->
            new PeerServiceMessage.Exchange(
                endpoint.host(), endpoint.server(), head, body.body(), cancelled, reply));
  }
}
