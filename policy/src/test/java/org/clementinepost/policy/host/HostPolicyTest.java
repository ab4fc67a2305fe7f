package org.clementinepost.policy.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.FailureDomain;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.config.Snapshot;
import org.junit.jupiter.api.Test;

final class HostPolicyTest extends HostFixture {
  private static Announcement discoveredServer() {
    return announcement("s-1", Announcement.State.SERVING, 0, 0, 0);
  }

  @Test
  void discoveredServerAcceptsRequestsBeforeFirstAnnouncement() {
    assertThat(decide(new HostEvent.Discovered(discoveredServer(), 0))).isNotEmpty();

    assertThat(state.servers().get(SERVER).get().isServing()).isTrue();
  }

  @Test
  void announcementOverridesDiscovery() {
    decide(new HostEvent.Discovered(discoveredServer(), 0));

    decide(new HostEvent.Announced(announcement("s-1", Announcement.State.DRAINING, 0, 5, 1), 0));

    assertThat(state.servers().get(SERVER).get().isServing()).isFalse();
  }

  @Test
  void discoveryAfterAnnouncementIsIgnored() {
    decide(new HostEvent.Announced(announcement("s-1", Announcement.State.DRAINING, 0, 5, 1), 0));

    decide(new HostEvent.Discovered(discoveredServer(), 0));

    assertThat(state.servers().get(SERVER).get().isServing()).isFalse();
  }

  @Test
  void discoveryAfterDepartureIsIgnored() {
    decide(new HostEvent.Announced(announcement("s-1", Announcement.State.GONE, 0, 5, 1), 0));

    decide(new HostEvent.Discovered(discoveredServer(), 0));

    assertThat(state.servers().isEmpty()).isTrue();
  }

  @Test
  void refusesRequestForFreeSlotOnlyWhenAllSlotsAreInUse() {
    announce();
    admit("a");
    admit("b");
    admit("c");
    assertThat(results).containsExactly("a ok", "b ok", "c HOST_QUEUE_FULL");
  }

  @Test
  void admitsWaitingRequestWithHighestPriorityFirst() {
    announce();
    admit("a");
    admit("b");
    admit("late", false, 2, AdmissionMode.WAIT_FOR_SLOT);
    admit("urgent", false, 0, AdmissionMode.WAIT_FOR_SLOT);
    endRequest(1, 200);
    assertThat(results).containsExactly("a ok", "b ok", "urgent ok");
    endRequest(2, 200);
    assertThat(results).endsWith("late ok");
  }

  @Test
  void refusesWaitingRequestBeforeIngressTimesItOutWithUnknownRunState() {
    announce();
    admit("a");
    admit("b");
    admit("short", false, 1, AdmissionMode.WAIT_FOR_SLOT, 200);
    nowMillis += 150;
    decide(new HostEvent.Tick(nowNanos()));
    assertThat(results).endsWith("short HOST_QUEUE_TIMEOUT");
  }

  @Test
  void refusesRequestWithoutTimeToWait() {
    announce();
    admit("a");
    admit("b");
    admit("short", false, 1, AdmissionMode.WAIT_FOR_SLOT, 40);
    assertThat(results).endsWith("short HOST_QUEUE_FULL");
  }

  @Test
  void refusesWaitingRequestAfterQuarterOfTargetLatency() {
    announce();
    admit("a");
    admit("b");
    admit("c", false, 1, AdmissionMode.WAIT_FOR_SLOT);
    nowMillis += TARGET_MILLIS / 4;
    decide(new HostEvent.Tick(nowNanos()));
    assertThat(results).endsWith("c HOST_QUEUE_TIMEOUT");
  }

  @Test
  void limitsRequestsPerSecondOfColdServer() {
    decide(
        new HostEvent.Configured(
            Snapshot.empty()
                .withVersion(1)
                .with(new Service(SERVICE, 70, 1, 0, 3_000, 1, 3, "/health", 100))));
    announce(announcement("s-1", Announcement.State.SERVING, 3_000, 1, 1));
    for (int i = 1; i <= 4; i++) {
      admit("r" + i);
      endRequest(i, 200);
      nowMillis += 10;
    }
    assertThat(results).containsExactly("r1 ok", "r2 ok", "r3 ok", "r4 HOST_QUEUE_FULL");
    nowMillis += 1_000;
    admit("r5");
    assertThat(results).endsWith("r5 ok");
  }

  @Test
  void serverGetsOneTrialAtATimeAfterOneFailure() {
    announce();
    admit("a");
    endRequest(1, 500);
    admit("write", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    admit("early", true, 1, AdmissionMode.FREE_SLOT_ONLY);
    nowMillis += 800;
    admit("trial", true, 1, AdmissionMode.FREE_SLOT_ONLY);
    admit("second", true, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results)
        .containsExactly(
            "a ok",
            "write BACKEND_SERVER_FAILING",
            "early BACKEND_SERVER_FAILING",
            "trial ok",
            "second BACKEND_SERVER_FAILING");
  }

  @Test
  void suspectedServerAcceptsNonIdempotentTrialAfter1500MillisWithoutRequest() {
    announce();
    admit("a", false, 1, AdmissionMode.WAIT_FOR_SLOT);
    endRequest(1, 500);
    nowMillis += 1_499;
    admit("early", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    nowMillis += 1;
    admit("trial", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    nowMillis += 1_499;
    admit("beside", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results)
        .containsExactly(
            "a ok", "early BACKEND_SERVER_FAILING", "trial ok", "beside BACKEND_SERVER_FAILING");
    endRequest(2, 200);
    nowMillis += 1;
    admit("next", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results).endsWith("next ok");
  }

  @Test
  void suspectedServerLeavesTrialsToIdempotentRequestsWhereTheyAreCommon() {
    announce();
    admit("a");
    endRequest(1, 500);
    nowMillis += 700;
    admit("read", true, 1, AdmissionMode.FREE_SLOT_ONLY);
    nowMillis += 3_299;
    admit("write", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    nowMillis += 1;
    admit("later", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results)
        .containsExactly(
            "a ok", "read BACKEND_SERVER_FAILING", "write BACKEND_SERVER_FAILING", "later ok");
  }

  @Test
  void doesNotSuspectServerWhoseOutgoingCallFailedDuringRequest() {
    announce();
    admit("a");
    nowMillis += 50;
    decide(new HostEvent.OutgoingCallFailed(nowNanos()));
    nowMillis += 10;
    decide(new HostEvent.RequestEnded(1, Option.none(), 500, 60_000, nowNanos()));
    admit("b");
    assertThat(results).endsWith("b ok");
    nowMillis += 10;
    decide(new HostEvent.RequestEnded(2, Option.none(), 500, 5_000, nowNanos()));
    admit("c");
    assertThat(results).endsWith("c BACKEND_SERVER_FAILING");
  }

  @Test
  void twoSuccessfulTrialsClearSuspectedServer() {
    announce();
    admit("a");
    endRequest(1, 500);
    nowMillis += 800;
    admit("trial", true, 1, AdmissionMode.FREE_SLOT_ONLY);
    endRequest(2, 200);
    admit("another", true, 1, AdmissionMode.FREE_SLOT_ONLY);
    endRequest(3, 200);
    admit("write", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results).endsWith("write ok");
  }

  @Test
  void refusesNonIdempotentRequestOnServerWithoutRecentSuccess() {
    announce();
    admit("early", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    admit("waits", false, 1, AdmissionMode.WAIT_FOR_SLOT);
    assertThat(results).containsExactly("early BACKEND_SERVER_UNPROVEN", "waits ok");
    endRequest(1, 200);
    admit("proven", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results).endsWith("proven ok");
    nowMillis += 1_400;
    admit("waits again", false, 1, AdmissionMode.WAIT_FOR_SLOT);
    nowMillis += 100;
    admit("late", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results).endsWith("late BACKEND_SERVER_UNPROVEN");
  }

  @Test
  void serverWithoutRecentSuccessAcceptsAnyRequestAfter800MillisIdle() {
    announce();
    nowMillis += 799;
    admit("early", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    nowMillis += 1;
    admit("proves", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    nowMillis += 800;
    admit("beside", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results)
        .containsExactly(
            "early BACKEND_SERVER_UNPROVEN", "proves ok", "beside BACKEND_SERVER_UNPROVEN");
    endRequest(1, 200);
    admit("next", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results).endsWith("next ok");
  }

  @Test
  void suspectedServerWithLongTrialAcceptsAnotherAfter1500Millis() {
    announce();
    admit("fails", false, 1, AdmissionMode.WAIT_FOR_SLOT);
    endRequest(1, 500);
    nowMillis += 1_500;
    admit("long", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    nowMillis += 1_499;
    admit("early", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    nowMillis += 1;
    admit("beside", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results).endsWith("long ok", "early BACKEND_SERVER_FAILING", "beside ok");
  }

  @Test
  void suspectedServerAcceptsRequestThatTakesAnyServer() {
    announce();
    admit("a");
    endRequest(1, 500);
    admit("write", false, 1, AdmissionMode.ANY_SERVER);
    assertThat(results).endsWith("write ok");
  }

  @Test
  void drainingServerRefusesRequestsDespiteLateAnnouncement() {
    announce();
    announce(announcement("s-1", Announcement.State.DRAINING, 0, 1, 3));
    announce(announcement("s-1", Announcement.State.SERVING, 0, 1, 2));
    admit("a");
    assertThat(results).containsExactly("a BACKEND_SERVER_DRAINING");
  }

  @Test
  void lateAnnouncementDoesNotRestoreDepartedServer() {
    announce();
    announce(Announcement.gone(SERVER, Option.none()));
    announce(announcement("s-1", Announcement.State.SERVING, 0, 1, 9));
    admit("a");
    assertThat(results).containsExactly("a BACKEND_SERVER_DRAINING");
    announce(announcement("s-1", Announcement.State.SERVING, 0, 2, 1));
    admit("b");
    assertThat(results).endsWith("b ok");
  }

  @Test
  void ignoresAnnouncementOfEarlierStartAtSameAddress() {
    announce(announcement("s-1", Announcement.State.SERVING, 0, 20, 1));
    announce(announcement("s-0", Announcement.State.SERVING, 0, 10, 99));
    assertThat(state.servers().keySet()).containsExactly(SERVER);
  }

  @Test
  void laterStartReplacesServerAtSameAddress() {
    announce(announcement("s-0", Announcement.State.SERVING, 0, 10, 99));
    announce(announcement("s-1", Announcement.State.SERVING, 0, 20, 1));
    assertThat(state.servers().keySet()).containsExactly(SERVER);
  }

  @Test
  void failureDomainOutOfServicePublishesNoServersAndRefusesRequests() {
    announce();
    Vector<HostEffect> effects =
        decide(
            new HostEvent.Configured(Snapshot.empty().with(new FailureDomain(DOMAIN, "", false))));
    assertThat(effects).containsExactly(new HostEffect.Publish(Vector.empty()));
    admit("a");
    assertThat(results).containsExactly("a FAILURE_DOMAIN_OUT");
  }

  @Test
  void stoppingHostRefusesRequestsAndReportsInFlight() {
    announce();
    admit("a");
    IntConsumer listener = count -> {};
    assertThat(decide(new HostEvent.Stop(listener, nowNanos())))
        .contains(new HostEffect.ReportInFlight(listener, 1));
    admit("b");
    assertThat(results).endsWith("b NODE_STOPPING");
    assertThat(decide(new HostEvent.RequestEnded(1, Option.none(), 200, 1, nowNanos())))
        .contains(new HostEffect.ReportInFlight(listener, 0));
  }

  @Test
  void emptyHostStateHasNoServers() {
    assertThat(HostState.empty().servers()).isEqualTo(HashMap.empty());
    assertThat(resultText(Either.left(Failure.of(ResultCode.HOST_QUEUE_FULL))))
        .isEqualTo("HOST_QUEUE_FULL");
  }

  @Test
  void reportsHowLongARequestHeldItsSlot() {
    announce();
    admit("a");
    nowMillis += 120;
    Vector<HostEffect> effects =
        decide(new HostEvent.RequestEnded(1, Option.none(), 200, 90_000, nowNanos()));
    HostEffect.SlotReleased released =
        (HostEffect.SlotReleased)
            effects.find(effect -> effect instanceof HostEffect.SlotReleased).get();
    assertThat(released.request().request().value()).isEqualTo("a");
    assertThat(released.heldNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(120));
    assertThat(released.end().serverMicros()).isEqualTo(90_000);
  }

  /** Guards against slots that are held for good since the end of a request was not reported. */
  @Test
  void slotOfRequestThatNeverEndsIsTakenBackAfterItsDeadline() {
    announce();
    admit("a");
    admit("b");
    nowMillis += 5_900;
    announce(announcement("s-1", Announcement.State.SERVING, 0, 1, 2));
    decide(new HostEvent.Tick(nowNanos()));
    admit("c");
    nowMillis += 100;
    assertThat(decide(new HostEvent.Tick(nowNanos())))
        .filteredOn(effect -> effect instanceof HostEffect.SlotExpired)
        .hasSize(2);
    admit("d");
    endRequest(1, 200);
    admit("e");
    admit("f");
    assertThat(results)
        .containsExactly("a ok", "b ok", "c HOST_QUEUE_FULL", "d ok", "e ok", "f HOST_QUEUE_FULL");
  }
}
