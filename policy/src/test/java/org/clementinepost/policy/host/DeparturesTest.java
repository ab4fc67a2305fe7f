package org.clementinepost.policy.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.junit.jupiter.api.Test;

final class DeparturesTest extends HostFixture {
  private static final long AFTER_TTL_MILLIS = 10_000;

  private void announce(Announcement.State serverState, long startMillis, long sequenceNumber) {
    decide(
        new HostEvent.Announced(
            announcement(SERVER.value(), serverState, 0, startMillis, sequenceNumber),
            TimeUnit.MILLISECONDS.toNanos(nowMillis)));
  }

  private boolean isServing() {
    return state.servers().get(SERVER).exists(HostedServer::isServing);
  }

  /** Guards against an older announcement that is taken once the draining server has expired. */
  @Test
  void drainingServerThatHasExpiredStaysAway() {
    announce(Announcement.State.SERVING, 5, 1);
    announce(Announcement.State.DRAINING, 5, 3);
    nowMillis += AFTER_TTL_MILLIS;
    decide(new HostEvent.Tick(TimeUnit.MILLISECONDS.toNanos(nowMillis)));
    assertThat(state.servers()).isEmpty();
    announce(Announcement.State.SERVING, 5, 2);
    assertThat(isServing()).isFalse();
  }

  /** Guards against a late announcement that arrives before the departures have been read. */
  @Test
  void serverThatServesByVoidAnnouncementIsRemoved() {
    announce(Announcement.State.SERVING, 5, 2);
    assertThat(isServing()).isTrue();
    decide(
        new HostEvent.DeparturesRestored(
            Departures.none().with(SERVER, new AnnouncementOrder(5, 3))));
    assertThat(isServing()).isFalse();
    announce(Announcement.State.SERVING, 6, 1);
    assertThat(isServing()).isTrue();
  }

  @Test
  void laterDepartureOfServerHolds() {
    Departures departures =
        Departures.none()
            .with(SERVER, new AnnouncementOrder(5, 3))
            .with(SERVER, new AnnouncementOrder(4, 9));
    assertThat(departures.covers(SERVER, new AnnouncementOrder(5, 3))).isTrue();
    assertThat(departures.covers(SERVER, new AnnouncementOrder(5, 4))).isFalse();
    assertThat(departures.containsStart(SERVER, new AnnouncementOrder(5, 4))).isTrue();
  }

  @Test
  void forgetsOldestStartsFirst() {
    Departures departures = Departures.none();
    for (int i = 0; i < 100; i++) {
      departures = departures.with(new BackendServerId("s-" + i), new AnnouncementOrder(i, 1));
    }
    assertThat(departures.contains(new BackendServerId("s-0"))).isFalse();
    assertThat(departures.contains(new BackendServerId("s-99"))).isTrue();
  }
}
