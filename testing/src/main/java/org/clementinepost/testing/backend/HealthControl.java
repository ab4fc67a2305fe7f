package org.clementinepost.testing.backend;

import java.util.Objects;

/**
 * An order on how to behave, and the body of {@code POST /control}.
 *
 * @param mode how to behave
 * @param latencyFactor how many times slower to answer when slow; zero for no factor
 * @param addedMillis how much later to answer when slow
 * @param fraction the part of requests that is met; zero for all
 */
public record HealthControl(
    HealthMode mode, double latencyFactor, long addedMillis, double fraction) {
  public HealthControl {
    Objects.requireNonNull(mode, "mode");
  }

  /** An order that meets every request. */
  public static HealthControl of(HealthMode mode) {
    return new HealthControl(mode, 0, 0, 0);
  }

  /** How to behave towards a request for which a number between zero and one was drawn. */
  HealthControl forRequest(double draw) {
    return fraction <= 0 || draw < fraction ? this : of(HealthMode.HEALTHY);
  }

  long latencyMillis(long usualMillis) {
    if (mode != HealthMode.SLOW) {
      return usualMillis;
    }
    double factor = latencyFactor > 0 ? latencyFactor : 1;
    return Math.round(usualMillis * factor) + addedMillis;
  }
}
