package org.clementinepost.policy.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.RequestOptions;
import org.clementinepost.api.ServiceId;
import org.junit.jupiter.api.Test;

/** Replays loads above the capacity of a backend server with two slots. */
final class OverloadAdmissionTest extends HostFixture {
  private static final long RUN_MILLIS = 300;

  private void fillSlots() {
    announce();
    learnRunTime(RUN_MILLIS);
    admit("a");
    admit("b");
  }

  private void admitWaiting(String id, int priority) {
    admit(id, false, priority, AdmissionMode.WAIT_FOR_SLOT);
  }

  @Test
  void requestWaitsAsLongAsItsResponseCanMeetTheTarget() {
    fillSlots();
    admitWaiting("c", 1);
    nowMillis += RUN_MILLIS;
    endRequest(2, 200, RUN_MILLIS);

    assertThat(results).containsExactly("a ok", "b ok", "c ok");
  }

  @Test
  void requestWhoseTurnCannotComeInTimeIsRefusedAtOnce() {
    announce();
    learnRunTime(600);
    admit("a");
    admit("b");
    admitWaiting("c", 1);

    assertThat(results).containsExactly("a ok", "b ok", "c HOST_QUEUE_FULL");
  }

  @Test
  void requestThatCannotFinishBeforeItsTimeoutIsRefusedAtOnce() {
    fillSlots();
    admit("c", false, 1, AdmissionMode.WAIT_FOR_SLOT, 650);

    assertThat(results).endsWith("c HOST_QUEUE_FULL");
  }

  @Test
  void burstOfFourTimesTheCapacityIsRefusedAtOnceOrServedInTime() {
    fillSlots();
    for (int i = 0; i < 8; i++) {
      admitWaiting("r" + i, 1);
    }
    long refusedAtOnce = results.stream().filter(result -> result.contains("FULL")).count();
    for (int round = 0; round < 4; round++) {
      nowMillis += RUN_MILLIS;
      long last = state.nextAdmissionId() - 1;
      endRequest(last - 1, 200, RUN_MILLIS);
      endRequest(last, 200, RUN_MILLIS);
    }

    assertThat(refusedAtOnce).isEqualTo(5);
    assertThat(results).noneMatch(result -> result.contains("TIMEOUT"));
    assertThat(results).filteredOn(result -> result.endsWith("ok")).hasSize(5);
  }

  @Test
  void fullQueueGivesWayFromItsLeastUrgentEnd() {
    announce();
    learnRunTime(100);
    admit("a");
    admit("b");
    for (int i = 0; i < 4; i++) {
      admitWaiting("low" + i, 5);
    }
    admitWaiting("urgent", 0);

    assertThat(results).endsWith("low3 HOST_QUEUE_FULL");
    nowMillis += 100;
    endRequest(2, 200, 100);
    assertThat(results).endsWith("urgent ok");
  }

  @Test
  void callOfBackendServerGoesBeforeRequestsOfCallers() {
    fillSlots();
    admit(requestOfCustomer("caller", 0));
    admitWaiting("call", 3);
    admit(callOfServer("call-of-server"));
    nowMillis += RUN_MILLIS;
    endRequest(2, 200, RUN_MILLIS);

    assertThat(results).endsWith("call-of-server ok");
  }

  private RequestHead requestOfCustomer(String id, int priority) {
    return head(id, Option.some(new CustomerId("clinic")), priority);
  }

  private RequestHead callOfServer(String id) {
    return head(id, Option.none(), 5);
  }

  private RequestHead head(String id, Option<CustomerId> customer, int priority) {
    return new RequestHead(
        new RequestId(id),
        1,
        customer,
        SERVICE,
        "GET",
        "/",
        Vector.empty(),
        true,
        Option.none(),
        5_000,
        0,
        new RequestOptions(
            priority,
            TARGET_MILLIS,
            2,
            Option.some(new ServiceId("calling")),
            AdmissionMode.WAIT_FOR_SLOT));
  }

  @Test
  void timeoutOfRequestThatWasGivenTooLittleTimeDoesNotSuspectServer() {
    announce();
    learnRunTime(RUN_MILLIS);
    admit("short", true, 1, AdmissionMode.FREE_SLOT_ONLY, 400);
    nowMillis += 400;
    timeOutRequest(2, 400);

    assertThat(state.servers().get(SERVER).get().health().suspected()).isFalse();
  }

  @Test
  void timeoutBeforeAnyRunIsJudgedByTheTargetLatency() {
    announce();
    admit("short", true, 1, AdmissionMode.FREE_SLOT_ONLY, 400);
    nowMillis += 400;
    timeOutRequest(1, 400);
    assertThat(state.servers().get(SERVER).get().health().suspected()).isFalse();

    admit("long", true, 1, AdmissionMode.FREE_SLOT_ONLY, 2_000);
    nowMillis += 2_000;
    timeOutRequest(2, 2_000);
    assertThat(state.servers().get(SERVER).get().health().suspected()).isTrue();
  }

  @Test
  void timeoutOfRequestThatWasGivenAmpleTimeSuspectsServer() {
    announce();
    learnRunTime(RUN_MILLIS);
    admit("long", true, 1, AdmissionMode.FREE_SLOT_ONLY, 700);
    nowMillis += 700;
    timeOutRequest(2, 700);

    assertThat(state.servers().get(SERVER).get().health().suspected()).isTrue();
  }
}
