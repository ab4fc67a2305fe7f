package org.clementinepost.node.announce;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.policy.host.AnnouncementOrder;
import org.clementinepost.policy.host.Departures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class DepartureRowTest {
  private static final BackendServerId SERVER = new BackendServerId("i");

  private static DepartureRow row(long writtenMillis) {
    return new DepartureRow(
        Departures.none().with(SERVER, new AnnouncementOrder(7, Long.MAX_VALUE)), writtenMillis);
  }

  @Test
  void readsWhatItWrites() {
    assertThat(DepartureRow.fromJson(row(12).toJson()).get()).isEqualTo(row(12));
  }

  @Test
  void expiresAfterTenMinutes() {
    long tenMinutesMillis = TimeUnit.MINUTES.toMillis(10);
    assertThat(row(5).isExpired(5 + tenMinutesMillis)).isFalse();
    assertThat(row(5).isExpired(6 + tenMinutesMillis)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "[", "{}", "{\"writtenMillis\":1,\"departed\":[{\"id\":3}]}", "\"text\""})
  void odditiesFail(String json) {
    assertThat(DepartureRow.fromJson(json).getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_PROTOCOL);
  }
}
