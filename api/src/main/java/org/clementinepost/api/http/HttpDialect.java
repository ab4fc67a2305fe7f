package org.clementinepost.api.http;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Option;

/**
 * The names of the HTTP header fields and paths that callers, nodes and backend servers use.
 *
 * <p>Nodes use {@link #DEFAULT} unless they are built for a platform with names of its own.
 *
 * @param requestIdHeader the header field with the request id
 * @param acceptsCallerRequestIds whether a request id sent by the caller is used; otherwise the
 *     node generates one
 * @param timeoutMillisHeader the header field with the milliseconds that remain for the response
 * @param customerHeader the header field that tells a backend server the request's customer
 * @param expectedServerHeader the header field that names the intended backend server; any other
 *     backend server refuses the request
 * @param callingServiceHeader the header field that tells a backend server the service that runs on
 *     the VM that sent the request
 * @param readinessPath the path at which a node reports whether it accepts callers
 * @param refusalTest tells whether a backend server refused a request without running it
 */
public record HttpDialect(
    String requestIdHeader,
    boolean acceptsCallerRequestIds,
    String timeoutMillisHeader,
    Option<String> customerHeader,
    Option<String> expectedServerHeader,
    Option<String> callingServiceHeader,
    String readinessPath,
    RefusalTest refusalTest) {

  private static final String NOT_RUN = "not-run";
  private static final String OUTCOME_HEADER = "clementinepost-outcome";

  /** HTTP status 503: the request cannot be served at the moment. */
  public static final int SERVICE_UNAVAILABLE_STATUS = 503;

  /** HTTP status 429: the customer has exceeded its rate limit. */
  public static final int TOO_MANY_REQUESTS_STATUS = 429;

  /** The names that nodes use by default. */
  public static final HttpDialect DEFAULT =
      new HttpDialect(
          "clementinepost-request-id",
          false,
          "clementinepost-timeout-millis",
          Option.none(),
          Option.none(),
          Option.none(),
          "/ready",
          (status, headers) ->
              status == SERVICE_UNAVAILABLE_STATUS
                  && headers.find(OUTCOME_HEADER).contains(NOT_RUN));

  /** Returns the names, in lower case, of the header fields that a node sets or overwrites. */
  public Set<String> nodeSetHeaders() {
    return HashSet.of(requestIdHeader, timeoutMillisHeader)
        .addAll(customerHeader)
        .addAll(expectedServerHeader)
        .addAll(callingServiceHeader)
        .map(name -> name.toLowerCase(java.util.Locale.ROOT));
  }

  /** Decides whether a response means that the backend server did not run the request. */
  @FunctionalInterface
  public interface RefusalTest {
    /** Returns whether the backend server did not run the request. */
    boolean isRefusal(int status, HeaderFinder headers);
  }

  /** Looks up a header field by name, ignoring case. */
  @FunctionalInterface
  public interface HeaderFinder {
    /** Returns the value of the field, if present. */
    Option<String> find(String name);
  }
}
