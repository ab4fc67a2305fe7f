package org.clementinepost.policy.feed;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.NodeId;
import org.clementinepost.kernel.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks what a fleet of nodes asks of the store, and what each node knows, in calm and under
 * faults. {@link FeedSimulation} checks the promises that hold at every step.
 */
final class FeedPolicyTest {
  private static final FeedTiming OPERATORS = new FeedTiming(900, 0, 250);
  private static final FeedTiming NODES = new FeedTiming(6_000, 700, 500);
  private static final int FLEET = 102;
  private static final int DOMAINS = 5;
  private static final long SETTLE_MILLIS = 5_000;

  /** The time after which a change must be in force at each node that is not disturbed. */
  private static final long CHANGE_BOUND_MILLIS = 1_900;

  /** A key is accepted while the last confirmation is younger than this. */
  private static final long KEY_BOUND_MILLIS = 4_600;

  private static FeedSimulation settledFleet(int nodes, FeedTiming timing, long seed) {
    FeedSimulation fleet = new FeedSimulation(nodes, DOMAINS, seed, timing);
    fleet.put("config", "1");
    fleet.run(SETTLE_MILLIS);
    return fleet;
  }

  private static double callsPerNodeAndSecond(FeedSimulation fleet, int nodes, long millis) {
    long before = fleet.store().calls();
    fleet.run(millis);
    return (fleet.store().calls() - before) * 1_000.0 / millis / nodes;
  }

  @ParameterizedTest
  @CsvSource({"30, 0.2", "100, 0.06", "300, 0.02", "1000, 0.006"})
  void callsToStoreDoNotGrowWithFleet(int nodes, double maxCalls) {
    FeedSimulation fleet = settledFleet(nodes, OPERATORS, 1);
    assertThat(callsPerNodeAndSecond(fleet, nodes, 20_000)).isLessThan(maxCalls);
  }

  @Test
  void callsToStoreStayBoundedWhileRowsChangeAllTheTime() {
    FeedSimulation fleet = settledFleet(FLEET, NODES, 1);
    long before = fleet.store().calls();
    for (int i = 0; i < 200; i++) {
      fleet.put("row-" + i % 20, "v" + i);
      fleet.run(100);
    }
    assertThat((fleet.store().calls() - before) / 20.0 / FLEET).isLessThan(0.2);
  }

  @Test
  void changeReachesEveryNodeAtOnce() {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, 2);
    for (int i = 0; i < 20; i++) {
      fleet.put("config", "v" + i);
      fleet.run(100);
      assertThat(fleet.maxVersionLag()).isZero();
      fleet.run(150 + 37 * i);
    }
  }

  @Test
  void removalReachesEveryNodeAtOnce() {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, 3);
    fleet.put("evacuate", "x");
    fleet.run(700);
    fleet.remove("evacuate");
    fleet.run(100);
    assertThat(fleet.maxVersionLag()).isZero();
  }

  @Test
  void confirmationsStayYoungOnCalmDay() {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, 4);
    for (int i = 0; i < 100; i++) {
      fleet.run(100);
      assertThat(fleet.maxConfirmationAgeMillis()).isLessThan(2_500);
    }
  }

  @Test
  void nodesThatStoreTurnsAwayAreConfirmedThroughOthers() {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, 5);
    fleet.cutFromStore(Vector.range(0, FLEET).filter(node -> node % 3 == 0));
    fleet.run(4_000);
    for (int i = 0; i < 60; i++) {
      fleet.run(100);
      assertThat(fleet.maxConfirmationAgeMillis()).isLessThan(KEY_BOUND_MILLIS);
    }
  }

  @Test
  void readersTurnedAwayAreReplaced() {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, 6);
    fleet.cutFromStore(fleet.readers());
    fleet.run(6_000);
    for (int i = 0; i < 60; i++) {
      fleet.run(100);
      assertThat(fleet.maxConfirmationAgeMillis()).isLessThan(KEY_BOUND_MILLIS);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void killedReadersAreReplacedBeforeKeysExpire(long seed) {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, seed);
    fleet.kill(fleet.readers());
    long before = fleet.store().calls();
    for (int i = 0; i < 100; i++) {
      fleet.run(100);
      assertThat(fleet.maxConfirmationAgeMillis()).isLessThan(KEY_BOUND_MILLIS);
    }
    // Each node may ask the store itself once or twice before it has found another relay.
    assertThat(fleet.store().calls() - before).isLessThan(3L * FLEET);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void changeReachesOtherNodesWithinTwoSecondsWhenAllReadersFail(long seed) {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, seed);
    fleet.run(seed * 170);
    Vector<Integer> readers = fleet.readers();
    switch ((int) (seed % 3)) {
      case 0 -> fleet.cutFromStore(readers);
      case 1 -> fleet.freeze(readers, 10_000);
      default -> fleet.kill(readers);
    }
    fleet.put("config", "key withdrawn");
    fleet.run(CHANGE_BOUND_MILLIS);
    assertThat(fleet.maxVersionLagWithout(readers)).isZero();
  }

  @Test
  void frozenReadersAreReplacedAndTheirOldNewsIsNotBelieved() {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, 7);
    fleet.freeze(fleet.readers(), 10_000);
    for (int i = 0; i < 150; i++) {
      if (i % 20 == 0) {
        fleet.put("config", "frozen-" + i);
      }
      fleet.run(100);
    }
    fleet.run(2_000);
    assertThat(fleet.maxVersionLag()).isZero();
    assertThat(fleet.maxConfirmationAgeMillis()).isLessThan(2_500);
  }

  @Test
  void readersThatHearNobodyAreReplaced() {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, 8);
    fleet.cutIncoming(fleet.readers());
    fleet.run(5_000);
    for (int i = 0; i < 50; i++) {
      fleet.run(100);
      assertThat(fleet.maxConfirmationAgeMillis()).isLessThan(KEY_BOUND_MILLIS);
    }
  }

  @Test
  void storeThatReturnsIsNotMetByAllNodesAtOnce() {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, 9);
    fleet.store().setDown(true);
    fleet.run(9_000);
    double whileDown = callsPerNodeAndSecond(fleet, FLEET, 1_000);
    fleet.store().setDown(false);
    double afterReturn = callsPerNodeAndSecond(fleet, FLEET, 1_000);
    fleet.run(1_000);

    assertThat(whileDown).isLessThan(1.5);
    assertThat(afterReturn).isLessThan(1.5);
    assertThat(fleet.maxConfirmationAgeMillis()).isLessThan(2_500);
    fleet.run(10_000);
    assertThat(callsPerNodeAndSecond(fleet, FLEET, 10_000)).isLessThan(0.1);
  }

  @Test
  void readThatNeverEndsIsGivenUp() {
    FeedPolicy policy = new FeedPolicy("table", new NodeId("n"), OPERATORS);
    Step<FeedState, FeedEffect> first =
        policy.decide(FeedState.initial(), new FeedEvent.Tick(0, 0));
    assertThat(first.effects()).contains(new FeedEffect.ReadStore(1, Option.none(), 0));
    Step<FeedState, FeedEffect> late =
        policy.decide(first.state(), new FeedEvent.Tick(0, TimeUnit.SECONDS.toNanos(20)));
    Step<FeedState, FeedEffect> next =
        policy.decide(late.state(), new FeedEvent.Tick(0, TimeUnit.SECONDS.toNanos(22)));
    assertThat(next.effects()).contains(new FeedEffect.ReadStore(2, Option.none(), 0));
  }

  @Test
  void lostHistoryLosesNoRemoval() {
    FeedSimulation fleet = settledFleet(FLEET, OPERATORS, 10);
    fleet.store().setDown(true);
    fleet.put("evacuate", "x");
    fleet.run(2_000);
    fleet.remove("evacuate");
    fleet.remove("config");
    fleet.store().dropHistory();
    fleet.store().setDown(false);
    fleet.run(3_000);
    assertThat(fleet.maxVersionLag()).isZero();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void promisesHoldUnderMixedFaults(long seed) {
    FeedSimulation fleet = settledFleet(FLEET, seed % 2 == 0 ? OPERATORS : NODES, seed);
    Random random = new Random(seed);
    for (int round = 0; round < 15; round++) {
      Vector<Integer> some = Vector.range(0, FLEET).filter(node -> random.nextInt(4) == 0);
      switch (random.nextInt(6)) {
        case 0 -> fleet.cutFromStore(some);
        case 1 -> fleet.cutIncoming(some);
        case 2 -> fleet.freeze(some.appendAll(fleet.readers()), 500 + random.nextInt(4_000));
        case 3 -> fleet.restart(fleet.readers());
        case 4 -> fleet.store().dropHistory();
        default -> fleet.store().setDown(!fleet.store().isDown());
      }
      for (int i = 0; i < 8; i++) {
        fleet.put("row-" + random.nextInt(10), "v" + round + "-" + i);
        if (random.nextBoolean()) {
          fleet.remove("row-" + random.nextInt(10));
        }
        fleet.run(random.nextInt(250));
      }
    }
    fleet.store().setDown(false);
    fleet.cutFromStore(Vector.empty());
    fleet.cutIncoming(Vector.empty());
    fleet.run(15_000);
    assertThat(fleet.maxVersionLag()).isZero();
  }
}
