package org.clementinepost.node.edge;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.Locale;
import java.util.Set;
import java.util.function.Supplier;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.node.HopByHopHeaders;
import org.clementinepost.policy.access.IncomingRequest;

/**
 * Converts a caller's HTTP request into an {@link IncomingRequest}.
 *
 * <p>Only the hash of the API key is passed on.
 */
final class RequestReader {
  private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
  private static final String FLEET_HEADER_PREFIX = "clementinepost-";
  private static final Set<String> NOT_FORWARDED =
      Set.of("authorization", "content-length", "expect");

  private final HttpDialect dialect;
  private final Option<ServiceId> localService;
  private final Set<String> notForwarded;

  RequestReader(HttpDialect dialect, Option<ServiceId> localService) {
    this.dialect = dialect;
    this.localService = localService;
    this.notForwarded = dialect.nodeSetHeaders().addAll(NOT_FORWARDED).toJavaSet();
  }

  /** Returns the caller's request id if the dialect accepts one, otherwise a generated id. */
  RequestId requestId(HttpHeaders headers, Supplier<RequestId> generator) {
    String callerId = headers.get(dialect.requestIdHeader());
    return dialect.acceptsCallerRequestIds() && callerId != null
        ? new RequestId(callerId)
        : generator.get();
  }

  IncomingRequest read(
      RequestId id, HttpMethod method, String uri, HttpHeaders headers, double randomFraction) {
    RequestTarget target = RequestTarget.of(uri, headers.get(HttpHeaderNames.HOST, ""));
    return new IncomingRequest(
        id,
        ApiKeyHash.fromAuthorizationHeader(headers.get(HttpHeaderNames.AUTHORIZATION)),
        target.host(),
        localService,
        randomFraction,
        method.name(),
        target.uri(),
        forwardedHeaders(headers),
        Option.of(headers.get(IDEMPOTENCY_KEY_HEADER)),
        timeoutMillis(headers),
        bodyBytes(headers));
  }

  private Vector<HeaderField> forwardedHeaders(HttpHeaders headers) {
    return HopByHopHeaders.strip(headers)
        .reject(field -> isNotForwarded(field.name().toLowerCase(Locale.ROOT)));
  }

  private boolean isNotForwarded(String name) {
    return notForwarded.contains(name) || name.startsWith(FLEET_HEADER_PREFIX);
  }

  private Option<Long> timeoutMillis(HttpHeaders headers) {
    return Option.of(headers.get(dialect.timeoutMillisHeader()))
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
