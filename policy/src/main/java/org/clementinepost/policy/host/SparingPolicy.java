package org.clementinepost.policy.host;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.ResultCode;

/**
 * Decides which requests a backend server is spared, since it failed of late or has not shown that
 * it works.
 *
 * <p>Only the host knows when its server last got a request, so it bounds how long the server is
 * spared. However little each ingress node knows, and whatever the others spare, a service's
 * servers stay in use that way.
 */
final class SparingPolicy {
  /** How long a server goes without a request at most, whatever is held against it. */
  private static final long LONGEST_REST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** How long an idle server without a good answer of late goes without a request at most. */
  private static final long IDLE_UNPROVEN_REST_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  private SparingPolicy() {}

  /** Why the server is spared the request; none when it takes it. */
  static Option<ResultCode> spared(HostedServer server, HostEvent.Admit admit) {
    if (isHeldBack(server, admit)) {
      return Option.some(ResultCode.BACKEND_SERVER_FAILING);
    }
    return isUnproven(server, admit)
        ? Option.some(ResultCode.BACKEND_SERVER_UNPROVEN)
        : Option.none();
  }

  /**
   * A suspected backend server gets trials alone, and what no other one would take.
   *
   * <p>Where hardly any request may run more than once, trials are rare, and a server that is well
   * again would wait long for them. After a rest any request is a trial.
   */
  static boolean isHeldBack(HostedServer server, HostEvent.Admit admit) {
    if (!server.health().suspected() || insistence(admit) == AdmissionMode.ANY_SERVER) {
      return false;
    }
    boolean trial =
        admit.head().idempotent() || server.hasRested(LONGEST_REST_NANOS, admit.nowNanos());
    return !trial || !server.health().trialDue(admit.nowNanos());
  }

  /**
   * Whether a request rather goes where another was answered well a moment ago.
   *
   * <p>A request that may run once only is lost when it is the first that a server fails. Fewer are
   * lost when such requests keep to few servers, and others prove the rest. Where no others come,
   * one at a time proves a server that has rested.
   */
  private static boolean isUnproven(HostedServer server, HostEvent.Admit admit) {
    return !server.health().suspected()
        && !admit.head().idempotent()
        && insistence(admit) == AdmissionMode.FREE_SLOT_ONLY
        && admit.head().options().targetLatencyMillis() > 0
        && !server.health().proven(admit.nowNanos())
        && !server.hasRested(unprovenRestNanos(server), admit.nowNanos());
  }

  /** A server at work may soon be proven by its answer, which is not awaited for ever. */
  private static long unprovenRestNanos(HostedServer server) {
    return server.busySlots() == 0 ? IDLE_UNPROVEN_REST_NANOS : LONGEST_REST_NANOS;
  }

  private static AdmissionMode insistence(HostEvent.Admit admit) {
    return admit.head().options().admissionMode();
  }
}
