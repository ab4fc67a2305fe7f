package org.clementinepost.policy.host;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Insistence;
import org.clementinepost.api.ResultCode;

/**
 * Decides which requests a backend server is spared, since it failed of late or has not shown that
 * it works.
 *
 * <p>Only the host knows when its server last got a request, so it bounds how long the server is
 * spared. However little each ingress node knows, and whatever the others spare, a service's
 * servers stay in use that way.
 */
final class HealthAdmissionPolicy {
  /** How long a server goes without a request at most, whatever is held against it. */
  private static final long MAX_REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** How long an idle server without a good answer of late goes without a request at most. */
  private static final long MAX_IDLE_UNPROVEN_REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  private HealthAdmissionPolicy() {}

  /** Why the server is spared the request; none when it takes it. */
  static Option<ResultCode> refusalCode(HostedServer server, HostEvent.Admit admit) {
    if (isRefusedAsSuspected(server, admit)) {
      return Option.some(ResultCode.BACKEND_SERVER_FAILING);
    }
    return isRefusedAsUnproven(server, admit)
        ? Option.some(ResultCode.BACKEND_SERVER_UNPROVEN)
        : Option.none();
  }

  /**
   * A suspected backend server gets trials alone, and what no other one would take.
   *
   * <p>Where hardly any request may run more than once, trials are rare, and a server that is well
   * again would wait long for them. After a rest any request is a trial.
   */
  static boolean isRefusedAsSuspected(HostedServer server, HostEvent.Admit admit) {
    if (!server.health().suspected() || admissionMode(admit) == Insistence.ANY_SERVER) {
      return false;
    }
    boolean trial =
        admit.head().idempotent() || server.hasNoAdmissionFor(MAX_REFUSAL_NANOS, admit.nowNanos());
    return !trial || !server.health().isTrialDue(admit.nowNanos());
  }

  /**
   * Whether a request rather goes where another was answered well a moment ago.
   *
   * <p>A request that may run once only is lost when it is the first that a server fails. Fewer are
   * lost when such requests keep to few servers, and others prove the rest. Where no others come,
   * one at a time proves a server that has rested.
   */
  private static boolean isRefusedAsUnproven(HostedServer server, HostEvent.Admit admit) {
    return !server.health().suspected()
        && !admit.head().idempotent()
        && admissionMode(admit) == Insistence.FREE_SLOT
        && admit.head().handling().targetMillis() > 0
        && !server.health().hasRecentSuccess(admit.nowNanos())
        && !server.hasNoAdmissionFor(maxUnprovenRefusalNanos(server), admit.nowNanos());
  }

  /** A server at work may soon be proven by its answer, which is not awaited for ever. */
  private static long maxUnprovenRefusalNanos(HostedServer server) {
    return server.inFlight() == 0 ? MAX_IDLE_UNPROVEN_REFUSAL_NANOS : MAX_REFUSAL_NANOS;
  }

  private static Insistence admissionMode(HostEvent.Admit admit) {
    return admit.head().handling().insistence();
  }
}
