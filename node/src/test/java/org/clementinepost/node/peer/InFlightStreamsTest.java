package org.clementinepost.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Delivery;
import org.junit.jupiter.api.Test;

final class InFlightStreamsTest {
  private final Address<ConnectionMessage> first = message -> Delivery.ACCEPTED;
  private final Address<ConnectionMessage> second = message -> Delivery.STOPPED;
  private final List<Integer> reported = new ArrayList<>();
  private final InFlightStreams streams = new InFlightStreams();

  private void drain() {
    streams.setListener(reported::add);
    streams.addConnection(first);
    streams.addConnection(second);
    streams.notifyIfChanged();
  }

  @Test
  void countsOneStreamUntilConnectionReports() {
    drain();
    streams.update(first, 0);
    assertThat(reported).containsExactly(2, 1);
    streams.update(second, 0);
    assertThat(reported).containsExactly(2, 1, 0);
  }

  @Test
  void reportsZeroWithoutConnections() {
    streams.setListener(reported::add);
    streams.notifyIfChanged();
    assertThat(reported).containsExactly(0);
  }

  @Test
  void reportsOnlyChanges() {
    drain();
    streams.update(first, 1);
    streams.update(first, 3);
    streams.update(second, 1);
    assertThat(reported).containsExactly(2, 4);
  }

  @Test
  void ignoresReportOfClosedConnection() {
    drain();
    streams.update(first, 0);
    streams.removeConnection(second);
    streams.update(second, 1);
    assertThat(reported).containsExactly(2, 1, 0);
  }
}
