package org.clementinepost.policy.floor;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ServiceFloorTest {
  private static final double FLOOR_FRACTION = 0.7;
  private static final long WINDOW_MILLIS = 2_000;
  private static final long WINDOW_STEP_MILLIS = 100;
  private static final long SIMULATED_MILLIS = 20_000;
  private static final int INGRESS_NODES = 102;

  /** At any time nearly a third of the servers fail nine requests in ten. */
  private static ServiceSimulation.Scenario scenario(
      int servers, double oncePerSecond, double repeatablePerSecond) {
    return new ServiceSimulation.Scenario(
        servers, INGRESS_NODES, oncePerSecond, repeatablePerSecond, 660, 160, 0.3, 9_000, 0.9);
  }

  private static double lowestHealthyServerUse(ServiceSimulation.Scenario profile, long seed) {
    ServiceSimulation run = new ServiceSimulation(profile, seed);
    run.run(SIMULATED_MILLIS);
    return run.lowestHealthyServerUse(WINDOW_MILLIS, WINDOW_STEP_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void hostsAndIngressNodesKeepSeventyPercentOfHealthyServersInUse(long seed) {
    assertThat(lowestHealthyServerUse(scenario(53, 147, 5), seed))
        .isGreaterThanOrEqualTo(FLOOR_FRACTION);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void keepsFloorWhenIdempotentRequestsServeAsTrials(long seed) {
    assertThat(lowestHealthyServerUse(scenario(53, 147, 39), seed))
        .isGreaterThanOrEqualTo(FLOOR_FRACTION);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void keepsFloorWithNonIdempotentRequestsOnly(long seed) {
    assertThat(lowestHealthyServerUse(scenario(13, 23, 0), seed))
        .isGreaterThanOrEqualTo(FLOOR_FRACTION);
  }
}
