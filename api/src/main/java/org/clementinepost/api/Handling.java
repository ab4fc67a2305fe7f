package org.clementinepost.api;

import io.vavr.control.Option;

/**
 * How a request ranks and how far it may go, whatever its service.
 *
 * @param priority its rank where requests compete; the smallest goes first
 * @param targetMillis the time within which an answer is worth most; zero without one
 * @param maxAttempts backend servers that it may be sent to
 * @param caller the service that runs on the VM where the request began
 * @param insistence how far it goes at one host
 */
public record Handling(
    int priority,
    long targetMillis,
    int maxAttempts,
    Option<ServiceId> caller,
    Insistence insistence) {
  /** The rank of a request that nobody has ranked. */
  public static final int LOWEST_PRIORITY = 1_000;

  private static final int DEFAULT_MAX_ATTEMPTS = 3;

  /** A request that no route says more about. */
  public static final Handling DEFAULT =
      new Handling(LOWEST_PRIORITY, 0, DEFAULT_MAX_ATTEMPTS, Option.none(), Insistence.FREE_SLOT);

  /** The same handling for a request that goes so far at its next host. */
  public Handling with(Insistence next) {
    return new Handling(priority, targetMillis, maxAttempts, caller, next);
  }
}
