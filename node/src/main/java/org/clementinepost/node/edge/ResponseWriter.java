package org.clementinepost.node.edge;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.exchange.WritabilityGate;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes responses to callers.
 *
 * <p>The fleet's own failures carry a result header; it is removed from responses of backend
 * servers. A body that fails closes the connection, so that the caller never mistakes a truncated
 * response for a complete one.
 */
final class ResponseWriter {
  private static final String RESULT_HEADER = "clementinepost-result";
  private static final String RUN_HEADER = "clementinepost-run";
  private static final String FLEET_HEADER_PREFIX = "clementinepost-";
  private static final String PROBLEM_JSON = "application/problem+json";

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 300;
  private static final long QUOTA_RETRY_AFTER_MILLIS = 500;

  /** The part by which a delay is lengthened at most. */
  private static final double RETRY_AFTER_SPREAD = 1;

  private ResponseWriter() {}

  /**
   * Returns the delay after which a refused request may succeed. Where it is not known for this
   * request, it is spread, so that callers refused together do not come back together.
   */
  static Option<Long> retryAfterMillis(Failure failure, double randomFraction) {
    if (failure.retryAfterMillis().isDefined()) {
      return failure.retryAfterMillis();
    }
    return defaultRetryAfterMillis(failure)
        .map(millis -> Math.round(millis * (1 + RETRY_AFTER_SPREAD * randomFraction)));
  }

  private static Option<Long> defaultRetryAfterMillis(Failure failure) {
    return switch (failure.code().httpStatus()) {
      case HttpDialect.SERVICE_UNAVAILABLE_STATUS -> Option.some(UNAVAILABLE_RETRY_AFTER_MILLIS);
      case HttpDialect.TOO_MANY_REQUESTS_STATUS -> Option.some(QUOTA_RETRY_AFTER_MILLIS);
      default -> Option.none();
    };
  }

  static Publisher<Void> write(
      HttpDialect dialect,
      RequestId id,
      HttpServerRequest request,
      HttpServerResponse response,
      Either<Failure, BackendResponse> result) {
    response.header(dialect.requestIdHeader(), id.value());
    return result.fold(
        failure -> writeFailure(id, response, failure),
        backendResponse -> writeBackendResponse(dialect, request, response, backendResponse));
  }

  private static Publisher<Void> writeBackendResponse(
      HttpDialect dialect,
      HttpServerRequest request,
      HttpServerResponse response,
      BackendResponse backendResponse) {
    response.status(backendResponse.head().status());
    backendResponse
        .head()
        .headers()
        .reject(
            field ->
                field
                    .name()
                    .regionMatches(true, 0, FLEET_HEADER_PREFIX, 0, FLEET_HEADER_PREFIX.length()))
        .reject(field -> field.name().equalsIgnoreCase(dialect.requestIdHeader()))
        .forEach(field -> response.addHeader(field.name(), field.value()));
    if (request.method().equals(HttpMethod.HEAD)) {
      return backendResponse.body().then(response.sendHeaders().then());
    }
    return sendOrDiscard(
        backendResponse,
        body -> response.sendByteArray(WritabilityGate.pace(body, response).map(Chunk::bytes)));
  }

  /**
   * Sends a body, and discards a response whose body is not read since the caller has just left.
   */
  static Publisher<Void> sendOrDiscard(
      BackendResponse response, Function<Flux<Chunk>, Publisher<Void>> send) {
    AtomicBoolean read = new AtomicBoolean();
    Flux<Chunk> body = response.body().doOnSubscribe(subscription -> read.set(true));
    return Flux.from(send.apply(body))
        .doFinally(
            signal -> {
              if (!read.get()) {
                response.discard();
              }
            });
  }

  private static Publisher<Void> writeFailure(
      RequestId id, HttpServerResponse response, Failure failure) {
    String body = ProblemDetails.toJson(id, failure);
    retryAfterMillis(failure, ThreadLocalRandom.current().nextDouble())
        .forEach(
            millis ->
                response.header(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND)));
    return response
        .status(failure.code().httpStatus())
        .header(HttpHeaderNames.CONTENT_TYPE, PROBLEM_JSON)
        .header(RESULT_HEADER, String.valueOf(failure.code().number()))
        .header(RUN_HEADER, failure.runState().label())
        .sendString(Mono.just(body));
  }
}
