package org.clementinepost.testing.backend;

import java.util.Objects;

/**
 * Sets how a backend server stand-in behaves; the body of {@code POST /control}.
 *
 * @param mode how to behave
 * @param latencyFactor the factor applied to the latency in mode {@link HealthMode#SLOW}; 0 for
 *     none
 * @param addedMillis the latency added in mode {@link HealthMode#SLOW}
 * @param fraction the fraction of requests affected, between 0 and 1; 0 for all
 */
public record HealthControl(
    HealthMode mode, double latencyFactor, long addedMillis, double fraction) {
  public HealthControl {
    Objects.requireNonNull(mode, "mode");
  }

  /** Returns a setting that affects every request. */
  public static HealthControl of(HealthMode mode) {
    return new HealthControl(mode, 0, 0, 0);
  }

  /** Returns the behaviour for one request, chosen by a random number between 0 and 1. */
  HealthControl forRequest(double randomFraction) {
    return fraction <= 0 || randomFraction < fraction ? this : of(HealthMode.HEALTHY);
  }

  long latencyMillis(long baseMillis) {
    if (mode != HealthMode.SLOW) {
      return baseMillis;
    }
    double factor = latencyFactor > 0 ? latencyFactor : 1;
    return Math.round(baseMillis * factor) + addedMillis;
  }
}
