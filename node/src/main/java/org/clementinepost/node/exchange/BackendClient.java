package org.clementinepost.node.exchange;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.ConnectException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.node.HopByHopHeaders;
import org.clementinepost.policy.host.Admission;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.internal.shaded.reactor.pool.PoolAcquirePendingLimitException;
import reactor.netty.internal.shaded.reactor.pool.PoolAcquireTimeoutException;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends HTTP requests to backend servers.
 *
 * <p>The retry of the HTTP library after a broken connection is disabled, since it could run a
 * non-idempotent request twice.
 */
final class BackendClient {
  /** Longer responses are streamed. */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  /** Maximum length of a body without a content length; a longer one is assumed to be endless. */
  static final long MAX_UNSIZED_BODY_BYTES = 64L << 20;

  /** Maximum length of the body of a refusal that is read so that its connection can be reused. */
  private static final int MAX_REFUSAL_BODY_BYTES = 16 << 10;

  private static final Duration REFUSAL_BODY_TIMEOUT = Duration.ofMillis(50);

  private static final long NO_CONTENT_LENGTH = -1;

  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2 << 10;
  private static final int MAX_READ_BYTES = 16 << 10;
  private static final int MAX_READS_PER_LOOP = 4;

  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(4);
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final HttpDialect dialect;
  private final Scheduler scheduler;
  private final ConnectionProvider connections;
  private final HttpClient client;

  BackendClient(int connectionsPerServer, HttpDialect dialect, Scheduler scheduler) {
    this.dialect = dialect;
    this.scheduler = scheduler;
    connections =
        ConnectionProvider.builder("backend-servers")
            .maxConnections(connectionsPerServer)
            .maxIdleTime(MAX_IDLE_TIME)
            .lifo()
            .build();
    client =
        HttpClient.create(connections)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
            .doOnChannelInit(
                (observer, channel, remote) -> {
                  WritabilityGate.attach(channel);
                  ResponseGuard.attach(channel);
                })
            .disableRetry(true)
            .followRedirect(false)
            .compress(false);
  }

  /** Bounds what is read from a connection before its reader can stop it. */
  private static RecvByteBufAllocator receiveBuffers() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
        .maxMessagesPerRead(MAX_READS_PER_LOOP);
  }

  Mono<Either<Failure, ReceivedResponse>> send(
      Admission admission, RequestHead head, Flux<Chunk> body, ExchangeStart start) {
    long deadlineMillis = scheduler.now(TimeUnit.MILLISECONDS) + head.timeoutMillis();
    return prepareRequest(admission, head, body, start)
        .responseConnection(
            (response, connection) ->
                toResponse(admission, head, deadlineMillis, response, connection))
        .singleOrEmpty()
        .onErrorResume(error -> Mono.just(Either.left(toFailure(admission, error))));
  }

  private HttpClient.ResponseReceiver<?> prepareRequest(
      Admission admission, RequestHead head, Flux<Chunk> body, ExchangeStart start) {
    HttpClient.RequestSender sender =
        client
            .doOnRequest((request, connection) -> startOrClose(start, connection))
            .headers(headers -> setHeaders(headers, admission, head))
            .request(HttpMethod.valueOf(head.method()))
            .uri("http://" + admission.address() + head.uri());
    if (head.bodyBytes() == RequestHead.NO_BODY) {
      return sender;
    }
    return sender.send(
        (request, outbound) ->
            outbound.sendByteArray(WritabilityGate.pace(body, outbound).map(Chunk::bytes)));
  }

  /** Closes the connection before the head of a withdrawn request is written to it. */
  private static void startOrClose(ExchangeStart start, Connection connection) {
    if (!start.tryStart()) {
      connection.dispose();
    }
  }

  private void setHeaders(HttpHeaders headers, Admission admission, RequestHead head) {
    head.headers().forEach(field -> headers.add(field.name(), field.value()));
    headers.set(dialect.requestIdHeader(), head.requestId().value());
    headers.set(dialect.timeoutMillisHeader(), head.timeoutMillis());
    dialect.expectedServerHeader().forEach(name -> headers.set(name, admission.server().value()));
    for (String name : dialect.customerHeader()) {
      head.customer().forEach(customer -> headers.set(name, customer.value()));
    }
    for (String name : dialect.callingServiceHeader()) {
      head.options().callingService().forEach(service -> headers.set(name, service.value()));
    }
    if (head.bodyBytes() > 0) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, head.bodyBytes());
    }
  }

  private Mono<Either<Failure, ReceivedResponse>> toResponse(
      Admission admission,
      RequestHead request,
      long deadlineMillis,
      HttpClientResponse response,
      Connection connection) {
    HttpHeaders headers = response.responseHeaders();
    if (isOfAnotherRequest(request, headers)) {
      return rejectResponse(admission, connection, "response to another request");
    }
    ResponseHead head =
        new ResponseHead(response.status().code(), endToEndHeaders(headers), admission.server(), 0);
    if (!head.hasFinalStatus()) {
      return rejectResponse(admission, connection, "response with status " + head.status());
    }
    boolean refused =
        dialect.refusalTest().isRefusal(head.status(), name -> Option.of(headers.get(name)));
    Flux<Chunk> body =
        connection
            .inbound()
            .receive()
            .asByteArray()
            .map(Chunk::wrap)
            .concatWith(failUnlessReached(ResponseGuard.endOfResponse(connection.channel())))
            .doOnCancel(connection::dispose);
    if (refused) {
      return onRefusal(admission, request, headers, connection, body);
    }
    long bodyBytes = contentLength(headers);
    if (bodyBytes > MAX_BUFFERED_BYTES) {
      return Mono.just(
          Either.right(
              ReceivedResponse.partial(
                  new BackendResponse(head, untilDeadline(body, deadlineMillis, connection)))));
    }
    return BodyBuffer.read(body, MAX_BUFFERED_BYTES, MAX_UNSIZED_BODY_BYTES)
        .map(buffered -> toReceived(head, buffered, deadlineMillis, connection))
        .map(Either::<Failure, ReceivedResponse>right)
        .onErrorResume(error -> Mono.just(Either.left(toFailure(admission, error))));
  }

  private ReceivedResponse toReceived(
      ResponseHead head,
      BodyBuffer.BufferedBody buffered,
      long deadlineMillis,
      Connection connection) {
    if (buffered.complete()) {
      return new ReceivedResponse(
          new BackendResponse(head, buffered.body()), Option.some(buffered.bufferedBytes()));
    }
    return ReceivedResponse.partial(
        new BackendResponse(head, untilDeadline(buffered.body(), deadlineMillis, connection)));
  }

  /** Fails a body that the HTTP library completes although the response broke off. */
  private static Mono<Chunk> failUnlessReached(ResponseGuard.ResponseEnd end) {
    return Mono.defer(
        () ->
            end.isReached()
                ? Mono.empty()
                : Mono.error(
                    new BodyFailedException(
                        Failure.of(
                            ResultCode.BACKEND_ANSWER_LOST,
                            "connection ended before the response or the upload was complete"))));
  }

  /** Closes the connection of an invalid response; whether its request has run is unknown. */
  private static Mono<Either<Failure, ReceivedResponse>> rejectResponse(
      Admission admission, Connection connection, String detail) {
    connection.dispose();
    return Mono.just(
        Either.left(
            Failure.of(ResultCode.BACKEND_ANSWER_LOST, admission.server() + ": " + detail)));
  }

  /**
   * Returns the failure for a refusal, and keeps the connection only if a copy of this refusal that
   * arrives on it later can be told from the response to another request.
   */
  private Mono<Either<Failure, ReceivedResponse>> onRefusal(
      Admission admission,
      RequestHead request,
      HttpHeaders headers,
      Connection connection,
      Flux<Chunk> body) {
    RefusedRequests refusedBefore = RefusedRequests.on(connection.channel());
    if (refusedBefore.contains(request.requestId())) {
      return rejectResponse(admission, connection, "second refusal of a request on one connection");
    }
    refusedBefore.with(request.requestId()).store(connection.channel());
    Mono<Either<Failure, ReceivedResponse>> refusal = drainRefusal(admission, body);
    boolean reusable = headers.contains(dialect.requestIdHeader()) && !refusedBefore.isFull();
    return reusable ? refusal : refusal.doOnNext(result -> connection.dispose());
  }

  /**
   * Reads the body of a refusal and returns the failure. The head alone shows that the request
   * didn't run, so the body is discarded if it is slow or long.
   */
  private Mono<Either<Failure, ReceivedResponse>> drainRefusal(
      Admission admission, Flux<Chunk> body) {
    Failure failure = Failure.of(ResultCode.BACKEND_SERVER_SHED, admission.server().value());
    return BodyBuffer.read(body, MAX_REFUSAL_BODY_BYTES, MAX_REFUSAL_BODY_BYTES)
        .doOnNext(buffered -> discardUnlessComplete(buffered))
        .timeout(REFUSAL_BODY_TIMEOUT, scheduler)
        .onErrorComplete()
        .then(Mono.just(Either.left(failure)));
  }

  private static void discardUnlessComplete(BodyBuffer.BufferedBody buffered) {
    if (!buffered.complete()) {
      buffered.body().subscribe().dispose();
    }
  }

  /** Fails a streamed body at the deadline of the request, when the caller no longer waits. */
  private Flux<Chunk> untilDeadline(Flux<Chunk> body, long deadlineMillis, Connection connection) {
    return Flux.defer(
        () -> {
          long remainingMillis = Math.max(0, deadlineMillis - scheduler.now(TimeUnit.MILLISECONDS));
          Mono<Void> deadline =
              Mono.delay(Duration.ofMillis(remainingMillis), scheduler)
                  .then(
                      Mono.error(
                          () ->
                              new BodyFailedException(
                                  Failure.of(
                                      ResultCode.BACKEND_TIMED_OUT,
                                      "response body incomplete at the deadline"))));
          return body.takeUntilOther(deadline).doOnError(error -> connection.dispose());
        });
  }

  private static long contentLength(HttpHeaders headers) {
    return Try.of(() -> Long.parseLong(headers.get(HttpHeaderNames.CONTENT_LENGTH)))
        .getOrElse(NO_CONTENT_LENGTH);
  }

  /**
   * Whether the response carries the id of another request, or none although the dialect requires
   * it. A backend server that puts request ids into its responses may send a response twice or
   * late.
   */
  private boolean isOfAnotherRequest(RequestHead request, HttpHeaders headers) {
    String id = headers.get(dialect.requestIdHeader());
    return id == null ? dialect.acceptsCallerRequestIds() : !request.requestId().value().equals(id);
  }

  private static Vector<HeaderField> endToEndHeaders(HttpHeaders headers) {
    return HopByHopHeaders.strip(headers);
  }

  private static Failure toFailure(Admission admission, Throwable error) {
    BackendServerId server = admission.server();
    Failure bodyFailure = BodyFailedException.failureOf(error);
    if (bodyFailure.code() == ResultCode.REQUEST_BROKEN_OFF) {
      return bodyFailure;
    }
    if (isConnectFailure(error)) {
      return Failure.of(ResultCode.BACKEND_CONNECT_FAILED, server + ": " + error.getMessage());
    }
    return Failure.of(ResultCode.BACKEND_ANSWER_LOST, server + ": " + error.getMessage());
  }

  private static boolean isConnectFailure(Throwable error) {
    return error instanceof ConnectException
        || error instanceof ConnectTimeoutException
        || error instanceof UnknownHostException
        || error instanceof PoolAcquireTimeoutException
        || error instanceof PoolAcquirePendingLimitException;
  }

  void dispose() {
    connections.dispose();
  }
}
