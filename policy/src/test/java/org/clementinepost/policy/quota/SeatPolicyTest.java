package org.clementinepost.policy.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.NodeId;
import org.clementinepost.kernel.Step;
import org.junit.jupiter.api.Test;

final class SeatPolicyTest {
  private static final Seat FIRST = new Seat(new NodeId("first"), 1);
  private static final Seat SECOND = new Seat(new NodeId("second"), 1);
  private final SeatPolicy first = new SeatPolicy(FIRST);
  private final SeatPolicy second = new SeatPolicy(SECOND);

  private static long at(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private SeatState seated() {
    SeatState read =
        first.decide(SeatState.unknown(), new SeatEvent.Read(Option.none(), 0, at(0))).state();
    return first.decide(read, new SeatEvent.Written(7, at(0))).state();
  }

  @Test
  void aRowThatIsNotThereIsTaken() {
    Step<SeatState, SeatEffect> step =
        first.decide(SeatState.unknown(), new SeatEvent.Read(Option.none(), 0, at(0)));
    assertThat(step.effects()).containsExactly(new SeatEffect.Write(FIRST, 0));
    Step<SeatState, SeatEffect> written =
        first.decide(step.state(), new SeatEvent.Written(7, at(0)));
    assertThat(written.effects()).containsExactly(new SeatEffect.Seated(true));
    assertThat(first.isKeeper(written.state(), at(100))).isTrue();
  }

  @Test
  void aLeaseEndsWhenItIsNotRenewedInTime() {
    SeatState state = seated();
    assertThat(first.isKeeper(state, at(7_900))).isTrue();
    assertThat(first.isKeeper(state, at(8_000))).isFalse();
    Step<SeatState, SeatEffect> step = first.decide(state, new SeatEvent.Tick(at(8_000)));
    assertThat(step.effects()).containsExactly(new SeatEffect.Unseated());
  }

  @Test
  void aLeaseIsCountedFromWhenItsWriteWasSent() {
    SeatState renewing = first.decide(seated(), new SeatEvent.Tick(at(3_000))).state();
    SeatState renewed = first.decide(renewing, new SeatEvent.Written(8, at(3_000))).state();
    assertThat(first.isKeeper(renewed, at(10_999))).isTrue();
    assertThat(first.isKeeper(renewed, at(11_000))).isFalse();
  }

  @Test
  void aSilentKeeperIsReplacedOnlyAfterItsLeaseHasEnded() {
    Option<Seat> row = Option.some(FIRST);
    SeatState state =
        second.decide(SeatState.unknown(), new SeatEvent.Read(row, 7, at(1_000))).state();
    Step<SeatState, SeatEffect> early = second.decide(state, new SeatEvent.Read(row, 7, at(9_400)));
    assertThat(early.effects()).isEmpty();
    Step<SeatState, SeatEffect> late =
        second.decide(early.state(), new SeatEvent.Read(row, 7, at(9_500)));
    assertThat(late.effects()).containsExactly(new SeatEffect.Write(SECOND, 7));
  }

  @Test
  void aKeeperThatRenewsOrAnswersIsNotReplaced() {
    Option<Seat> row = Option.some(FIRST);
    SeatState state =
        second.decide(SeatState.unknown(), new SeatEvent.Read(row, 7, at(1_000))).state();
    SeatState renewed = second.decide(state, new SeatEvent.Read(row, 9, at(9_000))).state();
    assertThat(second.decide(renewed, new SeatEvent.Read(row, 9, at(10_000))).effects()).isEmpty();
    SeatState heard = second.decide(renewed, new SeatEvent.Heard(at(17_000))).state();
    assertThat(second.decide(heard, new SeatEvent.Read(row, 9, at(18_000))).effects()).isEmpty();
  }

  @Test
  void aNodeTakesTheSeatOfItsOwnEarlierStartAtOnce() {
    SeatPolicy restarted = new SeatPolicy(new Seat(FIRST.node(), 2));
    Step<SeatState, SeatEffect> step =
        restarted.decide(SeatState.unknown(), new SeatEvent.Read(Option.some(FIRST), 7, at(0)));
    assertThat(step.effects()).containsExactly(new SeatEffect.Write(restarted.own(), 7));
    assertThat(restarted.decide(step.state(), new SeatEvent.Written(8, at(0))).effects())
        .containsExactly(new SeatEffect.Seated(false));
  }

  @Test
  void aStoppingKeeperGivesItsSeatBackAndTakesNone() {
    Step<SeatState, SeatEffect> step = first.decide(seated(), new SeatEvent.Leave());
    assertThat(step.effects()).containsExactly(new SeatEffect.Write(Seat.vacant(), 7));
    assertThat(first.isKeeper(step.state(), at(1))).isFalse();
    Step<SeatState, SeatEffect> read =
        first.decide(step.state(), new SeatEvent.Read(Option.some(Seat.vacant()), 8, at(10)));
    assertThat(read.effects()).isEmpty();
    assertThat(
            second
                .decide(
                    SeatState.unknown(), new SeatEvent.Read(Option.some(Seat.vacant()), 8, at(10)))
                .effects())
        .containsExactly(new SeatEffect.Write(SECOND, 8));
  }

  @Test
  void aMissedKeeperIsLookedUpOnceAtATime() {
    Step<SeatState, SeatEffect> step =
        second.decide(SeatState.unknown(), new SeatEvent.Missed(at(1_000)));
    assertThat(step.effects()).containsExactly(new SeatEffect.Read());
    assertThat(second.decide(step.state(), new SeatEvent.Missed(at(1_100))).effects()).isEmpty();
    SeatState failed = second.decide(step.state(), new SeatEvent.Failed()).state();
    assertThat(second.decide(failed, new SeatEvent.Missed(at(1_400))).effects()).isEmpty();
    assertThat(second.decide(failed, new SeatEvent.Missed(at(1_500))).effects())
        .containsExactly(new SeatEffect.Read());
  }

  @Test
  void aStoppingNodeStillKnowsTheKeeperAndLooksForAnother() {
    SeatState read =
        second
            .decide(SeatState.unknown(), new SeatEvent.Read(Option.some(FIRST), 7, at(1_000)))
            .state();
    SeatState leaving = second.decide(read, new SeatEvent.Leave()).state();
    assertThat(leaving.seat()).contains(FIRST);
    assertThat(second.decide(leaving, new SeatEvent.Missed(at(2_000))).effects())
        .containsExactly(new SeatEffect.Read());
  }

  @Test
  void aSeatThatIsOnItsWayBackIsNobodysYet() {
    SeatState leaving = first.decide(seated(), new SeatEvent.Leave()).state();
    assertThat(leaving.isHandingOver()).isTrue();
    SeatState givenBack = first.decide(leaving, new SeatEvent.Written(8, at(10))).state();
    assertThat(givenBack.isHandingOver()).isFalse();
  }

  @Test
  void aSeatWhoseGivingBackHasFailedIsGivenBackAgain() {
    SeatState leaving = first.decide(seated(), new SeatEvent.Leave()).state();
    SeatState failed = first.decide(leaving, new SeatEvent.Failed()).state();
    assertThat(failed.isHandingOver()).isTrue();
    Step<SeatState, SeatEffect> looked = first.decide(failed, new SeatEvent.Tick(at(1_000)));
    assertThat(looked.effects()).containsExactly(new SeatEffect.Read());
    assertThat(
            first
                .decide(looked.state(), new SeatEvent.Read(Option.some(FIRST), 7, at(1_005)))
                .effects())
        .containsExactly(new SeatEffect.Write(Seat.vacant(), 7));
    SeatState taken =
        first.decide(looked.state(), new SeatEvent.Read(Option.some(SECOND), 9, at(1_005))).state();
    assertThat(taken.isHandingOver()).isFalse();
    assertThat(taken.seat()).contains(SECOND);
  }

  @Test
  void aLeaseRenewedWhileTheKeeperBeginsToStopIsGivenBackToo() {
    SeatState renewing = first.decide(seated(), new SeatEvent.Tick(at(3_000))).state();
    Step<SeatState, SeatEffect> leave = first.decide(renewing, new SeatEvent.Leave());
    assertThat(leave.effects()).isEmpty();
    assertThat(first.decide(leave.state(), new SeatEvent.Written(8, at(3_000))).effects())
        .containsExactly(new SeatEffect.Write(Seat.vacant(), 8));
  }

  @Test
  void aSeatTakenByAnotherIsLookedUpAtOnce() {
    SeatState taking =
        second
            .decide(SeatState.unknown(), new SeatEvent.Read(Option.some(Seat.vacant()), 8, at(10)))
            .state();
    assertThat(second.decide(taking, new SeatEvent.Preceded(at(15))).effects())
        .containsExactly(new SeatEffect.Read());
  }
}
