package org.clementinepost.policy.quota;

/**
 * One token, spent for one request.
 *
 * @param validUntilNanos until when the request may go on; a process that was paused since may not
 *     know yet that the token has lapsed
 */
public record Permit(long validUntilNanos) {
  private static final Permit UNLIMITED = new Permit(Long.MAX_VALUE);

  /** The permit of a request that needs no token. */
  public static Permit unlimited() {
    return UNLIMITED;
  }

  /** Whether the request may still go on. */
  public boolean validAt(long nowNanos) {
    return nowNanos < validUntilNanos;
  }
}
