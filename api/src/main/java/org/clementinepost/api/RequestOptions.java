package org.clementinepost.api;

import io.vavr.control.Option;

/**
 * How a request ranks and how far it may go, whatever its service.
 *
 * @param priority its rank where requests compete; the smallest goes first
 * @param targetLatencyMillis the time within which an answer is worth most; zero without one
 * @param maxAttempts backend servers that it may be sent to
 * @param callingService the service that runs on the VM where the request began
 * @param admissionMode how far it goes at one host
 */
public record RequestOptions(
    int priority,
    long targetLatencyMillis,
    int maxAttempts,
    Option<ServiceId> callingService,
    AdmissionMode admissionMode) {
  /** The rank of a request that nobody has ranked. */
  public static final int LOWEST_PRIORITY = 1_000;

  private static final int DEFAULT_MAX_ATTEMPTS = 3;

  /** A request that no route says more about. */
  public static final RequestOptions DEFAULT =
      new RequestOptions(
          LOWEST_PRIORITY, 0, DEFAULT_MAX_ATTEMPTS, Option.none(), AdmissionMode.FREE_SLOT_ONLY);

  /** The same handling for a request that goes so far at its next host. */
  public RequestOptions withAdmissionMode(AdmissionMode next) {
    return new RequestOptions(priority, targetLatencyMillis, maxAttempts, callingService, next);
  }
}
