package org.clementinepost.node.edge;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestId;
import org.clementinepost.node.exchange.Answer;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes answers to callers.
 *
 * <p>The fleet's own refusals carry a result header, which no backend server's answer has. A body
 * that fails ends the connection, so that a cut answer is never taken for a whole one.
 */
final class AnswerWriter {
  private static final String REQUEST_ID_HEADER = "clementinepost-request-id";
  private static final String RESULT_HEADER = "clementinepost-result";
  private static final String RUN_HEADER = "clementinepost-run";
  private static final String FLEET_HEADER_PREFIX = "clementinepost-";
  private static final String PROBLEM_JSON = "application/problem+json";

  private AnswerWriter() {}

  static Publisher<Void> write(
      RequestId id,
      HttpServerRequest request,
      HttpServerResponse response,
      Either<Failure, Answer> answer) {
    response.header(REQUEST_ID_HEADER, id.value());
    return answer.fold(
        failure -> refuse(id, response, failure), whole -> pass(request, response, whole));
  }

  private static Publisher<Void> pass(
      HttpServerRequest request, HttpServerResponse response, Answer answer) {
    response.status(answer.head().status());
    answer
        .head()
        .headers()
        .reject(
            field ->
                field
                    .name()
                    .regionMatches(true, 0, FLEET_HEADER_PREFIX, 0, FLEET_HEADER_PREFIX.length()))
        .forEach(field -> response.addHeader(field.name(), field.value()));
    if (request.method().equals(HttpMethod.HEAD)) {
      return answer.body().then(response.sendHeaders().then());
    }
    return response.sendByteArray(answer.body().map(Chunk::bytes));
  }

  private static Publisher<Void> refuse(
      RequestId id, HttpServerResponse response, Failure failure) {
    String body = Problem.json(id, failure);
    return response
        .status(failure.code().httpStatus())
        .header(HttpHeaderNames.CONTENT_TYPE, PROBLEM_JSON)
        .header(RESULT_HEADER, String.valueOf(failure.code().number()))
        .header(RUN_HEADER, failure.runState().label())
        .sendString(Mono.just(body));
  }
}
