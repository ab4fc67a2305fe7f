package org.clementinepost.storage;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.ResultCode;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends HTTP requests to the table service or the object store and limits the size of responses.
 *
 * <p>Requests are never retried: a client that repeats a conditional write after a lost response
 * would mistake its own write for that of another client.
 */
final class PlatformHttpClient implements Disposable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(5);
  private static final int MAX_PENDING_REQUESTS = 1_024;

  private final String rootUrl;
  private final int maxResponseBytes;
  private final Duration requestTimeout;
  private final ConnectionProvider connections;
  private final HttpClient client;

  PlatformHttpClient(String name, String rootUrl, int maxResponseBytes, PlatformSettings settings) {
    this.rootUrl = rootUrl;
    this.maxResponseBytes = maxResponseBytes;
    this.requestTimeout = Duration.ofMillis(settings.requestTimeoutMillis());
    this.connections =
        ConnectionProvider.builder(name)
            .maxConnections(settings.maxConnections())
            .pendingAcquireMaxCount(MAX_PENDING_REQUESTS)
            .pendingAcquireTimeout(requestTimeout)
            .maxIdleTime(MAX_IDLE_TIME)
            .build();
    this.client =
        HttpClient.create(connections)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
            .disableRetry(true);
  }

  /** A response with any status code. */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed directly to the decoder.
  record Response(int status, byte[] body) {}

  /** Sends a request once; a timeout, a transport error or an oversized response is a failure. */
  Mono<Either<Failure, Response>> send(
      String method, String path, Vector<HeaderField> headers, byte[] body) {
    return client
        .headers(fields -> headers.forEach(field -> fields.set(field.name(), field.value())))
        .request(HttpMethod.valueOf(method))
        .uri(rootUrl + path)
        .send(
            (request, outbound) ->
                outbound.sendByteArray(withContentLength(request.requestHeaders(), body)))
        .response((response, content) -> readBody(response, content.asByteArray()))
        .single()
        .map(Either::<Failure, Response>right)
        .timeout(requestTimeout)
        .onErrorResume(e -> Mono.just(Either.left(toFailure(method, path, e))));
  }

  private static Mono<byte[]> withContentLength(HttpHeaders fields, byte[] body) {
    fields.set("Content-Length", body.length);
    return Mono.just(body);
  }

  private Mono<Response> readBody(HttpClientResponse response, Flux<byte[]> content) {
    return content
        .reduceWith(ByteArrayOutputStream::new, this::appendWithinLimit)
        .map(bytes -> new Response(response.status().code(), bytes.toByteArray()));
  }

  private ByteArrayOutputStream appendWithinLimit(ByteArrayOutputStream body, byte[] chunk) {
    if (body.size() + chunk.length > maxResponseBytes) {
      throw new ResponseTooLargeException(maxResponseBytes);
    }
    body.writeBytes(chunk);
    return body;
  }

  private static Failure toFailure(String method, String path, Throwable error) {
    logger.atWarning().log(
        "event=platform-request-failed method=%s path=%s cause=%s", method, path, error);
    return Failure.of(toResultCode(error), error.toString());
  }

  private static ResultCode toResultCode(Throwable error) {
    if (error instanceof ResponseTooLargeException) {
      return ResultCode.PLATFORM_PROTOCOL;
    }
    return error instanceof RejectedExecutionException
        ? ResultCode.PLATFORM_THROTTLED
        : ResultCode.PLATFORM_UNAVAILABLE;
  }

  @Override
  public void dispose() {
    connections.dispose();
  }

  /** Thrown when a response exceeds the maximum size. */
  private static final class ResponseTooLargeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ResponseTooLargeException(int maxBytes) {
      super("the response exceeds " + maxBytes + " bytes");
    }
  }
}
