package org.clementinepost.policy.access;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.RequestId;

/**
 * A caller's request as the edge has read it.
 *
 * @param requestId the id under which the fleet knows the request
 * @param keyHash the hash of the key that came with it, in hexadecimal digits
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers the end-to-end header fields without the key
 * @param idempotencyKey the caller's idempotency key
 * @param timeoutMillis the deadline that the caller has set
 * @param bodyBytes the length of the body, as in {@link org.clementinepost.api.RequestHead}
 */
public record ArrivedRequest(
    RequestId requestId,
    Option<String> keyHash,
    String method,
    String uri,
    Vector<HeaderField> headers,
    Option<String> idempotencyKey,
    Option<Long> timeoutMillis,
    long bodyBytes) {

  /** The path without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
