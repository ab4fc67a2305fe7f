package org.clementinepost.policy.floor;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ServiceFloorTest {
  private static final double FLOOR = 0.7;
  private static final long WINDOW_MILLIS = 2_000;
  private static final long STEP_MILLIS = 100;
  private static final long RUN_MILLIS = 20_000;
  private static final int INGRESSES = 102;

  /** At any time nearly a third of the servers fail nine requests in ten. */
  private static ServiceRun.Profile profile(
      int servers, double oncePerSecond, double repeatablePerSecond) {
    return new ServiceRun.Profile(
        servers, INGRESSES, oncePerSecond, repeatablePerSecond, 660, 160, 0.3, 9_000, 0.9);
  }

  private static double leastUse(ServiceRun.Profile profile, long seed) {
    ServiceRun run = new ServiceRun(profile, seed);
    run.run(RUN_MILLIS);
    return run.leastUse(WINDOW_MILLIS, STEP_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void hostsAndIngressesTogetherKeepSevenTenthsOfAServiceInUse(long seed) {
    assertThat(leastUse(profile(53, 147, 5), seed)).isGreaterThanOrEqualTo(FLOOR);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void repeatableRequestsTryWhatFailed(long seed) {
    assertThat(leastUse(profile(53, 147, 39), seed)).isGreaterThanOrEqualTo(FLOOR);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void requestsThatRunOnceKeepAServiceInUseByThemselves(long seed) {
    assertThat(leastUse(profile(13, 23, 0), seed)).isGreaterThanOrEqualTo(FLOOR);
  }
}
