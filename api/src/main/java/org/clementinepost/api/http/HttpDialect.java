package org.clementinepost.api.http;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Option;

/**
 * The header fields that callers, nodes and backend servers exchange.
 *
 * <p>A node speaks its own dialect unless it is built for a platform that has one.
 *
 * @param requestIdHeader names the request
 * @param acceptsCallerRequestIds whether the caller's name for a request is taken; the node makes
 *     one otherwise
 * @param timeoutMillisHeader the milliseconds that are left for an answer
 * @param customerHeader tells a backend server for which customer a request runs
 * @param expectedServerHeader tells a backend server which one is meant; another one refuses
 * @param callingServiceHeader tells a backend server the service beside which a request began
 * @param readinessPath where a node tells whether it takes callers
 * @param refusalTest tells a backend server's refusals from its answers
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

  /** The service cannot take the request now. */
  public static final int SERVICE_UNAVAILABLE_STATUS = 503;

  /** The customer has sent too many requests. */
  public static final int TOO_MANY_REQUESTS_STATUS = 429;

  /** The dialect of the product itself. */
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

  /** The header fields that a node sets itself, whatever a caller sent under these names. */
  public Set<String> nodeSetHeaders() {
    return HashSet.of(requestIdHeader, timeoutMillisHeader)
        .addAll(customerHeader)
        .addAll(expectedServerHeader)
        .addAll(callingServiceHeader)
        .map(name -> name.toLowerCase(java.util.Locale.ROOT));
  }

  /** Decides whether an answer says that the backend server has not run the request. */
  @FunctionalInterface
  public interface RefusalTest {
    /** Whether the request has not run. */
    boolean isRefusal(int status, HeaderFinder headers);
  }

  /** Finds a header field by its name, in any case. */
  @FunctionalInterface
  public interface HeaderFinder {
    /** The field's value. */
    Option<String> find(String name);
  }
}
