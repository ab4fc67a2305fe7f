package org.clementinepost.node.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.testing.backend.RawServerStandIn.RawResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Checks the limits on what a backend server may send: bodies, heads and interim responses without
 * end, slow bodies, and bytes after a response. Without these limits a faulty server could exhaust
 * the memory of the node or have its bytes taken for the response to another request.
 */
final class UnboundedResponseTest {
  private static final long FAR_DEADLINE_MILLIS = ExchangeFixture.FAR_DEADLINE_MILLIS;
  private static final long NEAR_DEADLINE_MILLIS = 1_500;

  /** Allowance for the socket buffers of the loopback interface and the prefetch of the node. */
  private static final long SOCKET_BUFFER_BYTES = 12 << 20;

  private static final long BUFFERED_BYTES = 1 << 20;
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String NO_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";
  private static final String GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
  private static final String SHED =
      "HTTP/1.1 503 Service Unavailable\r\nclementinepost-outcome: not-run\r\n";

  private ExchangeFixture exchange;

  private void serve(RawResponse... replies) {
    exchange = ExchangeFixture.start(HttpDialect.DEFAULT, replies);
  }

  @AfterEach
  void stop() {
    exchange.close();
  }

  private Either<Failure, BackendResponse> request(long timeoutMillis) {
    return exchange.request(timeoutMillis);
  }

  private static Failure awaitBodyFailure(BackendResponse response) {
    return response
        .body()
        .then()
        .materialize()
        .map(signal -> ((BodyFailedException) signal.getThrowable()).failure())
        .block(ExchangeFixture.TIMEOUT);
  }

  private static String text(Either<Failure, BackendResponse> result) {
    return ExchangeFixture.text(result);
  }

  private Option<ResultCode> firstEndFailure() {
    return exchange.endFailure(0);
  }

  private void assertClosedWithin(long bytes) throws InterruptedException {
    assertThat(exchange.server().awaitClosed(ExchangeFixture.TIMEOUT.toMillis())).isTrue();
    assertThat(exchange.server().sentBytes()).isLessThan(bytes + SOCKET_BUFFER_BYTES);
  }

  @Test
  void failsUnsizedBodyAtLimitAndBlamesServer() throws Exception {
    serve(RawResponse.endless(NO_LENGTH, "x"));

    Failure failure = awaitBodyFailure(request(FAR_DEADLINE_MILLIS).get());

    assertThat(failure.code()).isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertThat(firstEndFailure()).contains(ResultCode.BACKEND_ANSWER_LOST);
    assertClosedWithin(BackendClient.MAX_UNSIZED_BODY_BYTES);
  }

  @Test
  void failsChunkedBodyAtLimitAndBlamesServer() throws Exception {
    serve(RawResponse.endless(CHUNKED, "400\r\n" + "x".repeat(1_024) + "\r\n"));

    Failure failure = awaitBodyFailure(request(FAR_DEADLINE_MILLIS).get());

    assertThat(failure.code()).isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertThat(firstEndFailure()).contains(ResultCode.BACKEND_ANSWER_LOST);
    assertClosedWithin(2 * BackendClient.MAX_UNSIZED_BODY_BYTES);
  }

  @Test
  void stopsReadingDiscardedBody() throws Exception {
    serve(RawResponse.endless(NO_LENGTH, "x"));

    BackendResponse response = request(FAR_DEADLINE_MILLIS).get();
    response.discard();

    assertClosedWithin(BUFFERED_BYTES);
  }

  @Test
  void deliversLongUnsizedBody() {
    int chunks = 300_000;
    serve(RawResponse.once(CHUNKED + "8\r\nabcdefgh\r\n".repeat(chunks) + "0\r\n\r\n"));

    assertThat(text(request(FAR_DEADLINE_MILLIS))).isEqualTo("abcdefgh".repeat(chunks));
    assertThat(firstEndFailure()).isEmpty();
  }

  @Test
  void failsSlowBodyAtDeadline() throws Exception {
    serve(new RawResponse(NO_LENGTH, "x", 20));

    assertThat(request(NEAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_TIMED_OUT);
    assertThat(firstEndFailure()).contains(ResultCode.BACKEND_TIMED_OUT);
    assertClosedWithin(0);
  }

  @Test
  void failsSlowLongBodyAtDeadline() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + 4 * BUFFERED_BYTES + "\r\n\r\n";
    serve(RawResponse.once(GOOD), new RawResponse(head, "x", 20));
    assertThat(text(request(FAR_DEADLINE_MILLIS))).isEqualTo("good");

    Failure failure = awaitBodyFailure(request(NEAR_DEADLINE_MILLIS).get());

    assertThat(failure.code()).isEqualTo(ResultCode.BACKEND_TIMED_OUT);
    assertThat(exchange.endFailure(1)).contains(ResultCode.BACKEND_TIMED_OUT);
    assertClosedWithin(0);
  }

  @Test
  void acceptsRefusalWithEndlessBody() throws Exception {
    serve(RawResponse.endless(SHED + "\r\n", "x"));

    assertThat(request(FAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_SERVER_SHED);
    assertClosedWithin(0);
  }

  @Test
  void acceptsRefusalWithSlowBody() throws Exception {
    serve(new RawResponse(SHED + "\r\n", "x", 20));

    assertThat(request(FAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_SERVER_SHED);
    assertClosedWithin(0);
  }

  @Test
  void reusesConnectionAfterRefusalWithRequestIdAndShortBody() {
    String idOfFirstRequest = "clementinepost-request-id: r1\r\n";
    serve(
        RawResponse.once(SHED + idOfFirstRequest + "Content-Length: 4\r\n\r\nbusy"),
        RawResponse.once(GOOD));

    assertThat(request(FAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_SERVER_SHED);
    assertThat(text(request(FAR_DEADLINE_MILLIS))).isEqualTo("good");
    assertThat(exchange.server().connectionCount()).isEqualTo(1);
  }

  @Test
  void rejectsEndlessStatusLine() throws Exception {
    serve(RawResponse.endless("HTTP/1.1 200 ", "x"));

    assertThat(request(FAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertThat(firstEndFailure()).contains(ResultCode.BACKEND_ANSWER_LOST);
    assertClosedWithin(0);
  }

  @Test
  void rejectsEndlessHeaderFields() throws Exception {
    serve(RawResponse.endless("HTTP/1.1 200 OK\r\n", "X-Field: x\r\n"));

    assertThat(request(FAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertThat(firstEndFailure()).contains(ResultCode.BACKEND_ANSWER_LOST);
    assertClosedWithin(0);
  }

  @Test
  void rejectsEndlessBlankLines() throws Exception {
    serve(RawResponse.endless("", "\r\n"));

    assertThat(request(FAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertClosedWithin(0);
  }

  @Test
  void rejectsEndlessInterimResponses() throws Exception {
    serve(RawResponse.endless("", "HTTP/1.1 102 Processing\r\n\r\n"));

    assertThat(request(FAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertThat(firstEndFailure()).contains(ResultCode.BACKEND_ANSWER_LOST);
    assertClosedWithin(0);
  }

  @Test
  void rejectsEndlessChunkExtension() throws Exception {
    serve(RawResponse.endless(CHUNKED + "8;a=", "x"));

    assertThat(request(FAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertClosedWithin(0);
  }

  @Test
  void rejectsEndlessTrailers() throws Exception {
    serve(RawResponse.endless(CHUNKED + "4\r\ngood\r\n0\r\n", "X-Field: x\r\n"));

    assertThat(request(FAR_DEADLINE_MILLIS).getLeft().code())
        .isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertClosedWithin(0);
  }

  @Test
  void discardsBytesAfterResponse() throws Exception {
    serve(RawResponse.endless(GOOD, "x"), RawResponse.once(GOOD));

    assertThat(text(request(FAR_DEADLINE_MILLIS))).isEqualTo("good");
    assertClosedWithin(0);
    assertThat(text(request(FAR_DEADLINE_MILLIS))).isEqualTo("good");
  }

  @Test
  void discardsSecondResponseToOneRequest() throws Exception {
    String second = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
    serve(RawResponse.once(GOOD + second), RawResponse.once(GOOD));

    assertThat(text(request(FAR_DEADLINE_MILLIS))).isEqualTo("good");
    assertClosedWithin(0);
    assertThat(text(request(FAR_DEADLINE_MILLIS))).isEqualTo("good");
  }

  @Test
  void discardsPartOfSecondResponse() throws Exception {
    serve(
        RawResponse.once(GOOD + "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbad"),
        RawResponse.once(GOOD));

    assertThat(text(request(FAR_DEADLINE_MILLIS))).isEqualTo("good");
    assertClosedWithin(0);
    assertThat(text(request(FAR_DEADLINE_MILLIS))).isEqualTo("good");
  }
}
