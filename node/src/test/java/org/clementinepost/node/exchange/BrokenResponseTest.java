package org.clementinepost.node.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.platform.PlatformDialect;
import org.clementinepost.testing.backend.RawServerStandIn.RawResponse;
import org.junit.jupiter.api.Test;

/**
 * Guards against a response that breaks off and is delivered as a complete one: a backend server
 * stops at any byte of its response and closes the connection.
 */
final class BrokenResponseTest {
  private static final long DEADLINE_MILLIS = ExchangeFixture.FAR_DEADLINE_MILLIS;
  private static final String SIZED =
      "HTTP/1.1 200 OK\r\nServer-Stamp: b\r\nAttempt-Id: r\r\n"
          + "Content-Length: 12\r\n\r\nwhole answer";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n"
          + "c\r\nwhole answer\r\n0\r\n\r\n";

  private static void assertEachPrefixFails(HttpDialect dialect, String response) {
    for (int length = 0; length < response.length(); length++) {
      String prefix = response.substring(0, length);
      try (ExchangeFixture exchange =
          ExchangeFixture.start(dialect, RawResponse.thenClose(prefix))) {
        Either<Failure, BackendResponse> result = exchange.request("r", DEADLINE_MILLIS);
        assertThat(result.isLeft()).as("after %s", prefix).isTrue();
        assertThat(result.getLeft().code()).isEqualTo(ResultCode.BACKEND_ANSWER_LOST);
      }
    }
  }

  @Test
  void responseWithLengthThatBreaksOffIsNeverDelivered() {
    assertEachPrefixFails(PlatformDialect.DIALECT, SIZED);
    assertEachPrefixFails(HttpDialect.DEFAULT, SIZED);
  }

  @Test
  void chunkedResponseThatBreaksOffIsNeverDelivered() {
    assertEachPrefixFails(PlatformDialect.DIALECT, CHUNKED);
    assertEachPrefixFails(HttpDialect.DEFAULT, CHUNKED);
  }

  @Test
  void wholeResponsesAreDelivered() {
    for (String response : Vector.of(SIZED, CHUNKED)) {
      try (ExchangeFixture exchange =
          ExchangeFixture.start(PlatformDialect.DIALECT, RawResponse.thenClose(response))) {
        assertThat(ExchangeFixture.text(exchange.request("r", DEADLINE_MILLIS)))
            .isEqualTo("whole answer");
      }
    }
  }
}
