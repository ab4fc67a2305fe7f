package org.clementinepost.api;

import io.vavr.control.Option;

/**
 * Options for routing and admitting a request, such as its priority, latency target, retry limit
 * and admission mode.
 *
 * @param priority the priority when requests compete for slots; smaller values are served first
 * @param targetLatencyMillis the latency that the response should stay within; zero if there is no
 *     target
 * @param maxAttempts the maximum number of backend servers that the request may be sent to
 * @param callingService the service that runs on the VM that sent the request
 * @param admissionMode the conditions under which the next host admits the request
 */
public record RequestOptions(
    int priority,
    long targetLatencyMillis,
    int maxAttempts,
    Option<ServiceId> callingService,
    AdmissionMode admissionMode) {
  /** The priority of a request for which neither route nor customer sets one. */
  public static final int LOWEST_PRIORITY = 1_000;

  private static final int DEFAULT_MAX_ATTEMPTS = 3;

  /** The options of a request whose route sets none. */
  public static final RequestOptions DEFAULT =
      new RequestOptions(
          LOWEST_PRIORITY, 0, DEFAULT_MAX_ATTEMPTS, Option.none(), AdmissionMode.FREE_SLOT_ONLY);

  /** Returns these options with another admission mode. */
  public RequestOptions withAdmissionMode(AdmissionMode next) {
    return new RequestOptions(priority, targetLatencyMillis, maxAttempts, callingService, next);
  }
}
