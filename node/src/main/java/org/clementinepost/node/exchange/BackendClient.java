package org.clementinepost.node.exchange;

import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.net.UnknownHostException;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.node.HopByHopHeaders;
import org.clementinepost.policy.host.Admission;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.internal.shaded.reactor.pool.PoolAcquirePendingLimitException;
import reactor.netty.internal.shaded.reactor.pool.PoolAcquireTimeoutException;
import reactor.netty.resources.ConnectionProvider;

/**
 * Speaks HTTP to backend servers.
 *
 * <p>The library's own repetition of a request on a broken connection is turned off: a request that
 * may run once only would run twice.
 */
final class BackendClient {
  /** The header by which a backend server says that it has not run a request. */
  private static final String OUTCOME_HEADER = "clementinepost-outcome";

  private static final String NOT_RUN = "not-run";
  private static final String TIMEOUT_HEADER = "clementinepost-timeout-millis";
  private static final String REQUEST_ID_HEADER = "clementinepost-request-id";
  private static final int UNAVAILABLE_STATUS = 503;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final ConnectionProvider connections;
  private final HttpClient client;

  BackendClient(int connectionsPerServer) {
    connections =
        ConnectionProvider.builder("backend-servers")
            .maxConnections(connectionsPerServer)
            .lifo()
            .build();
    client =
        HttpClient.create(connections)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .disableRetry(true)
            .followRedirect(false)
            .compress(false);
  }

  Mono<Either<Failure, Answer>> send(Admission admission, RequestHead head, Flux<Chunk> body) {
    return request(admission, head, body)
        .responseConnection((response, connection) -> answer(admission, response, connection))
        .next()
        .onErrorResume(error -> Mono.just(Either.left(failure(admission, error))));
  }

  private HttpClient.ResponseReceiver<?> request(
      Admission admission, RequestHead head, Flux<Chunk> body) {
    HttpClient.RequestSender sender =
        client
            .headers(headers -> fill(headers, head))
            .request(HttpMethod.valueOf(head.method()))
            .uri("http://" + admission.address() + head.uri());
    if (head.bodyBytes() == RequestHead.NO_BODY) {
      return sender;
    }
    return sender.send((request, outbound) -> outbound.sendByteArray(body.map(Chunk::bytes)));
  }

  private static void fill(HttpHeaders headers, RequestHead head) {
    head.headers().forEach(field -> headers.add(field.name(), field.value()));
    headers.set(REQUEST_ID_HEADER, head.requestId().value());
    headers.set(TIMEOUT_HEADER, head.timeoutMillis());
    if (head.bodyBytes() > 0) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, head.bodyBytes());
    }
  }

  private static Mono<Either<Failure, Answer>> answer(
      Admission admission, HttpClientResponse response, Connection connection) {
    boolean shed =
        response.status().code() == UNAVAILABLE_STATUS
            && NOT_RUN.equals(response.responseHeaders().get(OUTCOME_HEADER));
    Flux<Chunk> body =
        connection
            .inbound()
            .receive()
            .asByteArray()
            .map(Chunk::owning)
            .doOnCancel(connection::dispose);
    if (shed) {
      Failure failure = Failure.of(ResultCode.BACKEND_SERVER_SHED, admission.server().value());
      return body.onErrorComplete().then(Mono.just(Either.left(failure)));
    }
    ResponseHead head =
        new ResponseHead(
            response.status().code(), endToEnd(response.responseHeaders()), admission.server(), 0);
    return Mono.just(Either.right(new Answer(head, body)));
  }

  private static Vector<HeaderField> endToEnd(HttpHeaders headers) {
    return HopByHopHeaders.strip(headers);
  }

  private static Failure failure(Admission admission, Throwable error) {
    BackendServerId server = admission.server();
    if (neverConnected(error)) {
      return Failure.of(ResultCode.BACKEND_CONNECT_FAILED, server + ": " + error.getMessage());
    }
    return Failure.of(ResultCode.BACKEND_ANSWER_LOST, server + ": " + error.getMessage());
  }

  private static boolean neverConnected(Throwable error) {
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
