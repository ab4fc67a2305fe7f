package org.clementinepost.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Delivery;
import org.junit.jupiter.api.Test;

final class StreamsInHandTest {
  private final Address<ConnectionMessage> first = message -> Delivery.ACCEPTED;
  private final Address<ConnectionMessage> second = message -> Delivery.STOPPED;
  private final List<Integer> told = new ArrayList<>();
  private final StreamsInHand inHand = new StreamsInHand();

  private void drain() {
    inHand.tell(told::add);
    inHand.unknown(first);
    inHand.unknown(second);
    inHand.tellIfChanged();
  }

  @Test
  void aConnectionThatHasNotToldCountsAsBusy() {
    drain();
    inHand.changed(first, 0);
    assertThat(told).containsExactly(2, 1);
    inHand.changed(second, 0);
    assertThat(told).containsExactly(2, 1, 0);
  }

  @Test
  void aNodeWithoutConnectionsHasNothingInHand() {
    inHand.tell(told::add);
    inHand.tellIfChanged();
    assertThat(told).containsExactly(0);
  }

  @Test
  void onlyChangesAreTold() {
    drain();
    inHand.changed(first, 1);
    inHand.changed(first, 3);
    inHand.changed(second, 1);
    assertThat(told).containsExactly(2, 4);
  }

  @Test
  void theLateWordOfAConnectionThatHasEndedHoldsUpNoStop() {
    drain();
    inHand.changed(first, 0);
    inHand.ended(second);
    inHand.changed(second, 1);
    assertThat(told).containsExactly(2, 1, 0);
  }
}
