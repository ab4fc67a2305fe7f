package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;

/**
 * What it costs to send a request to another failure domain, as a time.
 *
 * @param micros the round trip to the domain, and the cost of the bytes between domains
 */
record DomainCost(long micros) {
  static final DomainCost OWN_DOMAIN = new DomainCost(0);

  private static final long BYTES_MICROS = TimeUnit.MILLISECONDS.toMicros(20);

  /** What must remain of the saving, so that requests do not oscillate between domains. */
  private static final long MARGIN_MICROS = TimeUnit.MILLISECONDS.toMicros(10);

  static DomainCost ofOtherDomain(long roundTripMicros) {
    return new DomainCost(roundTripMicros + BYTES_MICROS);
  }

  /** Whether leaving the own domain saves more than it costs. */
  boolean isWorth(long savedMicros) {
    return savedMicros > micros + MARGIN_MICROS;
  }
}
