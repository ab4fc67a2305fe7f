package org.clementinepost.policy.access;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ServiceId;

/**
 * A caller's request as read by the edge.
 *
 * @param requestId the id of the request within the fleet
 * @param keyHash the hash of the request's key, in hexadecimal digits
 * @param host the requested host name without a port; empty if there is none
 * @param callingService the service that runs on the VM from which the request was sent
 * @param randomFraction a uniformly distributed random number from zero up to one, which chooses
 *     the service of a route that splits its requests
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers the end-to-end header fields without the key
 * @param idempotencyKey the caller's idempotency key
 * @param timeoutMillis the timeout that the caller has set
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

  /** Creates a request without a host name and a calling service. */
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

  /** Returns the path without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
