package org.clementinepost.node.edge;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.Locale;
import java.util.Set;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.node.HopByHopHeaders;
import org.clementinepost.policy.access.ArrivedRequest;
import reactor.netty.http.server.HttpServerRequest;

/** Reads a caller's request; the key is turned into its hash here and goes no further. */
final class RequestReader {
  private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
  private static final String FLEET_HEADER_PREFIX = "clementinepost-";
  private static final String TIMEOUT_HEADER = "clementinepost-timeout-millis";
  private static final Set<String> NOT_PASSED_ON =
      Set.of("authorization", "content-length", "expect");

  private RequestReader() {}

  static ArrivedRequest read(RequestId id, HttpServerRequest request) {
    HttpHeaders headers = request.requestHeaders();
    return new ArrivedRequest(
        id,
        KeyHash.ofAuthorization(headers.get(HttpHeaderNames.AUTHORIZATION)),
        request.method().name(),
        request.uri(),
        passedOn(headers),
        Option.of(headers.get(IDEMPOTENCY_KEY_HEADER)),
        timeoutMillis(headers),
        bodyBytes(headers));
  }

  private static Vector<HeaderField> passedOn(HttpHeaders headers) {
    return HopByHopHeaders.strip(headers)
        .reject(field -> isKeptBack(field.name().toLowerCase(Locale.ROOT)));
  }

  private static boolean isKeptBack(String name) {
    return NOT_PASSED_ON.contains(name) || name.startsWith(FLEET_HEADER_PREFIX);
  }

  private static Option<Long> timeoutMillis(HttpHeaders headers) {
    return Option.of(headers.get(TIMEOUT_HEADER))
        .flatMap(text -> Try.of(() -> Long.parseLong(text.trim())).toOption())
        .filter(millis -> millis > 0);
  }

  private static long bodyBytes(HttpHeaders headers) {
    if (headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)) {
      return RequestHead.UNKNOWN_LENGTH;
    }
    return Try.of(() -> Long.parseLong(headers.get(HttpHeaderNames.CONTENT_LENGTH, "0")))
        .getOrElse(RequestHead.NO_BODY);
  }
}
