package org.clementinepost.policy.host;

import static org.assertj.core.api.Assertions.assertThat;

import org.clementinepost.api.AdmissionMode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a busy server that is taken out of use, and whose waiting requests are refused,
 * for each of its rare errors.
 */
final class ServerDoubtTest extends HostFixture {
  private static final int ERROR_STATUS = 500;
  private static final int OK_STATUS = 200;
  private static final long RUN_MILLIS = 100;

  @BeforeEach
  void succeedOnce() {
    announce();
    learnRunTime(RUN_MILLIS);
  }

  private void fail(long runMillis) {
    admit("failing", true, 1, AdmissionMode.ANY_SERVER);
    nowMillis += runMillis;
    endRequest(state.nextAdmissionId() - 1, ERROR_STATUS, runMillis);
    results.clear();
  }

  private boolean isSuspected() {
    return state.servers().get(SERVER).get().health().suspected();
  }

  @Test
  void oneErrorOfBusyServerDoesNotRefuseTheRequestsThatWait() {
    admit("a");
    admit("b");
    admit("waiting", true, 1, AdmissionMode.WAIT_FOR_SLOT);
    nowMillis += RUN_MILLIS;
    endRequest(state.nextAdmissionId() - 1, ERROR_STATUS, RUN_MILLIS);
    assertThat(isSuspected()).isFalse();
    assertThat(results).containsExactly("a ok", "b ok", "waiting ok");
  }

  @Test
  void secondErrorWithoutSuccessBetweenMakesServerSuspected() {
    fail(2);
    fail(2);
    assertThat(isSuspected()).isTrue();
  }

  @Test
  void successSentAfterTheErrorEndsTheDoubt() {
    fail(2);
    admit("good");
    nowMillis += RUN_MILLIS;
    endRequest(state.nextAdmissionId() - 1, OK_STATUS, RUN_MILLIS);
    fail(2);
    assertThat(isSuspected()).isFalse();
  }

  /** Such a success only shows that the server was healthy before. */
  @Test
  void successSentBeforeTheErrorDoesNotEndTheDoubt() {
    admit("early");
    long early = state.nextAdmissionId() - 1;
    nowMillis += 1;
    fail(2);
    endRequest(early, OK_STATUS, 3);
    fail(2);
    assertThat(isSuspected()).isTrue();
  }

  @Test
  void errorLongAfterTheLastSuccessMakesServerSuspectedAtOnce() {
    nowMillis += 1_000;
    fail(2);
    assertThat(isSuspected()).isTrue();
  }

  /** A request that can't be repeated is not lost to find out whether the server is healthy. */
  @Test
  void doubtedServerGetsNoRequestThatCannotBeRepeated() {
    fail(2);
    admit("booking", false, 1, AdmissionMode.FREE_SLOT_ONLY);
    admit("lookup", true, 1, AdmissionMode.FREE_SLOT_ONLY);
    assertThat(results).containsExactly("booking BACKEND_SERVER_UNPROVEN", "lookup ok");
  }
}
