package org.clementinepost.node.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import org.clementinepost.api.ResultCode;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.platform.PlatformDialect;
import org.clementinepost.testing.backend.RawServerStandIn.RawResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Checks that a response which a backend server sends once more on a kept connection is never taken
 * for the response to a later request, nor a repeated refusal for a statement about a later
 * attempt.
 */
final class RepeatedResponseTest {
  private static final long DEADLINE_MILLIS = ExchangeFixture.FAR_DEADLINE_MILLIS;

  private ExchangeFixture exchange;

  @AfterEach
  void stop() {
    exchange.close();
  }

  private void serve(HttpDialect dialect, RawResponse... replies) {
    exchange = ExchangeFixture.start(dialect, replies);
  }

  private static RawResponse success(String id, String body) {
    return RawResponse.once(
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + id
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  private static RawResponse refusal(String id) {
    return RawResponse.once(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\nAttempt-Id: "
            + id
            + "\r\nContent-Length: 4\r\n\r\nbusy");
  }

  private ResultCode failureOf(String id) {
    return exchange.request(id, DEADLINE_MILLIS).getLeft().code();
  }

  @Test
  void repeatedResponseIsNotDeliveredToNextRequest() throws Exception {
    serve(PlatformDialect.DIALECT, success("a", "good"), success("a", "good"));

    assertThat(ExchangeFixture.text(exchange.request("a", DEADLINE_MILLIS))).isEqualTo("good");
    assertThat(failureOf("b")).isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertThat(exchange.server().awaitClosed(ExchangeFixture.TIMEOUT.toMillis())).isTrue();
  }

  @Test
  void repeatedRefusalOfEarlierRequestDoesNotRefuseNextRequest() {
    serve(PlatformDialect.DIALECT, refusal("a"), refusal("a"));

    assertThat(failureOf("a")).isEqualTo(ResultCode.BACKEND_SERVER_SHED);
    assertThat(failureOf("b")).isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
  }

  @Test
  void repeatedRefusalDoesNotRefuseNextAttemptOfSameRequest() throws Exception {
    serve(PlatformDialect.DIALECT, refusal("a"), refusal("a"));

    assertThat(failureOf("a")).isEqualTo(ResultCode.BACKEND_SERVER_SHED);
    assertThat(failureOf("a")).isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
    assertThat(exchange.server().awaitClosed(ExchangeFixture.TIMEOUT.toMillis())).isTrue();
  }

  @Test
  @Tag("known-red")
  void refusalsOfDifferentRequestsAreBelievedOnOneConnection() {
    serve(PlatformDialect.DIALECT, refusal("a"), refusal("b"), success("c", "good"));

    assertThat(failureOf("a")).isEqualTo(ResultCode.BACKEND_SERVER_SHED);
    assertThat(failureOf("b")).isEqualTo(ResultCode.BACKEND_SERVER_SHED);
    assertThat(ExchangeFixture.text(exchange.request("c", DEADLINE_MILLIS))).isEqualTo("good");
    assertThat(exchange.server().connectionCount()).isEqualTo(1);
  }

  @Test
  void refusalWithoutRequestIdClosesItsConnection() {
    String refusal =
        "HTTP/1.1 503 Service Unavailable\r\nclementinepost-outcome: not-run\r\n"
            + "Content-Length: 4\r\n\r\nbusy";
    serve(HttpDialect.DEFAULT, RawResponse.once(refusal));

    assertThat(failureOf("a")).isEqualTo(ResultCode.BACKEND_SERVER_SHED);
    assertThat(failureOf("b")).isEqualTo(ResultCode.BACKEND_SERVER_SHED);
    assertThat(exchange.server().connectionCount()).isEqualTo(2);
  }

  @Test
  void responseWithIdOfAnotherRequestIsRejectedWhereTheIdIsOptional() {
    serve(
        HttpDialect.DEFAULT,
        RawResponse.once(
            "HTTP/1.1 200 OK\r\nclementinepost-request-id: a\r\nContent-Length: 4\r\n\r\ngood"));

    assertThat(ExchangeFixture.text(exchange.request("a", DEADLINE_MILLIS))).isEqualTo("good");
    assertThat(failureOf("b")).isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
  }
}
