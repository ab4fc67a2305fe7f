package org.clementinepost.policy.quota;

import java.util.concurrent.TimeUnit;

/**
 * How long granted tokens may be spent.
 *
 * <p>A holder counts from the sending of its ask and a home from its receipt, so the home's count
 * ends later without any agreement on the time; the margin is for clocks that run at unlike speeds.
 */
public final class GrantLease {
  /** How long a holder may spend tokens after it sent the ask for them. */
  public static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** How long a home still counts the tokens of a lease that has ended. */
  public static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private GrantLease() {}
}
