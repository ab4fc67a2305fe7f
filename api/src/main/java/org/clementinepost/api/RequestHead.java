package org.clementinepost.api;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * What the fleet knows of a request before its body: everything but the customer's key.
 *
 * @param requestId the caller's request
 * @param attempt counts the places tried for this request, from one
 * @param customer the customer whose key came with the request; none on a route open to all
 * @param service the service that the route names
 * @param method the HTTP method
 * @param uri the path and query as the caller sent them
 * @param headers the end-to-end header fields, without the key
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey the caller's idempotency key
 * @param timeoutMillis the time left until the deadline
 * @param bodyBytes the length of the body, {@link #NO_BODY} or {@link #UNKNOWN_LENGTH}
 * @param options its rank and how far it may go
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

  /** The body length of a request without a body. */
  public static final long NO_BODY = 0;

  /** The body length of a request whose body comes in chunks. */
  public static final long UNKNOWN_LENGTH = -1;

  /** A request that no route says more about. */
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

  /** The same request with another handling. */
  public RequestHead withOptions(RequestOptions next) {
    return copyWith(attempt, timeoutMillis, next);
  }

  /** The same request on its next attempt, with the time that is left. */
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
