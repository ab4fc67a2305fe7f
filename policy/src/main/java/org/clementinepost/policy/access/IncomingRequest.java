package org.clementinepost.policy.access;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ServiceId;

/**
 * A caller's request as the edge has read it.
 *
 * @param requestId the id under which the fleet knows the request
 * @param keyHash the hash of the key that came with it, in hexadecimal digits
 * @param host the host name that it asks for, without a port; empty without one
 * @param callingService the service that runs on the VM where the request began
 * @param randomFraction a number drawn evenly from zero up to one, for a route that is split
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers the end-to-end header fields without the key
 * @param idempotencyKey the caller's idempotency key
 * @param timeoutMillis the deadline that the caller has set
 * @param bodyBytes the length of the body, as in {@link org.clementinepost.api.RequestHead}
 */
public record IncomingRequest(
    RequestId requestId,
    Option<String> keyHash,
    String host,
    Option<ServiceId> callingService,
    double randomFraction,
    String method,
    String uri,
    Vector<HeaderField> headers,
    Option<String> idempotencyKey,
    Option<Long> timeoutMillis,
    long bodyBytes) {

  /** A request that names no host and did not begin beside a service. */
  public IncomingRequest(
      RequestId requestId,
      Option<String> keyHash,
      String method,
      String uri,
      Vector<HeaderField> headers,
      Option<String> idempotencyKey,
      Option<Long> timeoutMillis,
      long bodyBytes) {
    this(
        requestId,
        keyHash,
        "",
        Option.none(),
        0,
        method,
        uri,
        headers,
        idempotencyKey,
        timeoutMillis,
        bodyBytes);
  }

  /** The path without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
