package org.clementinepost.api;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Everything that nodes pass on about a request except its body and the customer's API key.
 *
 * @param requestId the id of the request
 * @param attempt the number of this attempt, starting at one
 * @param customer the customer whose API key the request carried; none on a route open to all
 * @param service the service that the route selected
 * @param method the HTTP method
 * @param uri the path and query string as sent by the caller
 * @param headers the end-to-end header fields, without the API key
 * @param idempotent whether the request may safely run more than once
 * @param idempotencyKey the caller's idempotency key
 * @param timeoutMillis the time left until the deadline
 * @param bodyBytes the length of the body, {@link #NO_BODY} or {@link #UNKNOWN_LENGTH}
 * @param options the options for routing and admitting the request
 */
public record RequestHead(
    RequestId requestId,
    int attempt,
    Option<CustomerId> customer,
    ServiceId service,
    String method,
    String uri,
    Vector<HeaderField> headers,
    boolean idempotent,
    Option<String> idempotencyKey,
    long timeoutMillis,
    long bodyBytes,
    RequestOptions options) {

  /** The value of {@code bodyBytes} for a request without a body. */
  public static final long NO_BODY = 0;

  /** The value of {@code bodyBytes} for a request whose body length is not known in advance. */
  public static final long UNKNOWN_LENGTH = -1;

  /** Creates the head of a request with default options. */
  public RequestHead(
      RequestId requestId,
      int attempt,
      Option<CustomerId> customer,
      ServiceId service,
      String method,
      String uri,
      Vector<HeaderField> headers,
      boolean idempotent,
      Option<String> idempotencyKey,
      long timeoutMillis,
      long bodyBytes) {
    this(
        requestId,
        attempt,
        customer,
        service,
        method,
        uri,
        headers,
        idempotent,
        idempotencyKey,
        timeoutMillis,
        bodyBytes,
        RequestOptions.DEFAULT);
  }

  /** Returns this head with other options. */
  public RequestHead withOptions(RequestOptions next) {
    return copyWith(attempt, timeoutMillis, next);
  }

  /** Returns this head for the next attempt, with the time that remains until the deadline. */
  public RequestHead nextAttempt(int nextAttempt, long remainingMillis) {
    return copyWith(nextAttempt, remainingMillis, options);
  }

  private RequestHead copyWith(int nextAttempt, long remainingMillis, RequestOptions next) {
    return new RequestHead(
        requestId,
        nextAttempt,
        customer,
        service,
        method,
        uri,
        headers,
        idempotent,
        idempotencyKey,
        remainingMillis,
        bodyBytes,
        next);
  }
}
