package org.clementinepost.policy.quota;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;

/** The rate and the burst hold over any interval, whatever happens to messages and nodes. */
final class EscrowPropertiesTest {
  private static final double ROUNDING = 1e-6;
  private static final long RUN_MILLIS = 20_000;

  private static Customer customer(double ratePerSecond, int burstRequests) {
    return new Customer(new CustomerId("acme"), ratePerSecond, burstRequests, 1);
  }

  private static void holds(
      long seed, EscrowWorld.Faults faults, double rate, int burst, int nodes, double load) {
    EscrowWorld world = new EscrowWorld(seed, faults, customer(rate, burst), nodes);
    world.run(RUN_MILLIS, rate * load);
    assertThat(world.worstBeyondRate()).isLessThanOrEqualTo(burst + ROUNDING);
  }

  @Property(seed = "41001", tries = 200, shrinking = ShrinkingMode.OFF)
  void lost_doubled_and_late_messages(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 1, max = 60) double rate,
      @ForAll @IntRange(min = 1, max = 60) int burst,
      @ForAll @IntRange(min = 1, max = 6) int nodes) {
    holds(seed, new EscrowWorld.Faults(0.1, 0.2, 0.2, 0, 0), rate, burst, nodes, 3);
  }

  @Property(seed = "41002", tries = 200, shrinking = ShrinkingMode.OFF)
  void paused_nodes(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 1, max = 60) double rate,
      @ForAll @IntRange(min = 1, max = 60) int burst,
      @ForAll @IntRange(min = 1, max = 6) int nodes) {
    holds(seed, new EscrowWorld.Faults(0, 0, 0, 0.05, 0), rate, burst, nodes, 3);
  }

  @Property(seed = "41003", tries = 200, shrinking = ShrinkingMode.OFF)
  void crashes_restarts_and_takeovers(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 1, max = 60) double rate,
      @ForAll @IntRange(min = 1, max = 60) int burst,
      @ForAll @IntRange(min = 1, max = 6) int nodes) {
    holds(seed, new EscrowWorld.Faults(0, 0, 0, 0, 0.03), rate, burst, nodes, 3);
  }

  @Property(seed = "41004", tries = 400, shrinking = ShrinkingMode.OFF)
  void all_faults_together(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 1, max = 60) double rate,
      @ForAll @IntRange(min = 1, max = 60) int burst,
      @ForAll @IntRange(min = 1, max = 6) int nodes) {
    holds(seed, new EscrowWorld.Faults(0.05, 0.1, 0.1, 0.02, 0.02), rate, burst, nodes, 5);
  }

  @Property(seed = "41005", tries = 50, shrinking = ShrinkingMode.OFF)
  void demand_over_the_rate_gets_nearly_all_of_it_without_faults(
      @ForAll long seed, @ForAll @IntRange(min = 3, max = 6) int nodes) {
    EscrowWorld world =
        new EscrowWorld(seed, new EscrowWorld.Faults(0, 0, 0, 0, 0), customer(50, 25), nodes);
    world.run(RUN_MILLIS, 150);
    assertThat(world.spent()).isGreaterThanOrEqualTo((int) (0.97 * 50 * RUN_MILLIS / 1_000));
  }
}
