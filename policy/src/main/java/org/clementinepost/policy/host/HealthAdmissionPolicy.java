package org.clementinepost.policy.host;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.ResultCode;

/**
 * Decides which requests a host refuses because its backend server failed recently or has no recent
 * success.
 *
 * <p>Only the host knows when its server last received a request, so the host limits how long the
 * server goes without one. This keeps all servers of a service in use, even though no ingress node
 * or host knows the state of all of them.
 */
final class HealthAdmissionPolicy {
  /** The time without a request after which any request may serve as a trial. */
  private static final long MAX_REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /**
   * The longer limit for a request that isn't idempotent, at a server that idempotent requests have
   * asked for within this time: they serve as trials and lose nothing if the server still fails.
   */
  private static final long MAX_REFUSAL_WITH_IDEMPOTENT_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** The shorter limit for an idle server that is not suspected but has no recent success. */
  private static final long MAX_IDLE_UNPROVEN_REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  private HealthAdmissionPolicy() {}

  /** Returns why the request is refused, or none if the health of the server allows it. */
  static Option<ResultCode> refusalCode(HostedServer server, HostEvent.Admit admit) {
    if (isRefusedAsSuspected(server, admit)) {
      return Option.some(ResultCode.BACKEND_SERVER_FAILING);
    }
    return isRefusedAsUnproven(server, admit)
        ? Option.some(ResultCode.BACKEND_SERVER_UNPROVEN)
        : Option.none();
  }

  /**
   * Whether the request is refused because the server is suspected.
   *
   * <p>A suspected server gets only trials, and requests whose admission mode accepts any server.
   * Idempotent requests serve as trials. Where these are rare, a recovered server would wait long
   * for a trial, so after {@link #MAX_REFUSAL_NANOS} without a request any request is a trial;
   * where they are common, after {@link #MAX_REFUSAL_WITH_IDEMPOTENT_NANOS}.
   */
  static boolean isRefusedAsSuspected(HostedServer server, HostEvent.Admit admit) {
    if (!server.health().suspected() || admissionMode(admit) == AdmissionMode.ANY_SERVER) {
      return false;
    }
    boolean trial =
        admit.head().idempotent()
            || server.hasNoAdmissionFor(
                maxSuspectedRefusalNanos(server, admit.nowNanos()), admit.nowNanos());
    return !trial || !server.health().isTrialDue(admit.nowNanos());
  }

  /**
   * Whether the request is refused because the server has no recent success.
   *
   * <p>A non-idempotent request cannot be retried if it is the first one that a server fails. Fewer
   * are lost if they go to a few servers with a recent success, while idempotent requests test the
   * other servers. Where there are no idempotent requests, one non-idempotent request at a time
   * tests a server that has had no request for a while.
   */
  private static boolean isRefusedAsUnproven(HostedServer server, HostEvent.Admit admit) {
    return !server.health().suspected()
        && !admit.head().idempotent()
        && admissionMode(admit) == AdmissionMode.FREE_SLOT_ONLY
        && admit.head().options().targetLatencyMillis() > 0
        && !server.health().hasRecentSuccess(admit.nowNanos())
        && !server.hasNoAdmissionFor(maxUnprovenRefusalNanos(server), admit.nowNanos());
  }

  private static long maxSuspectedRefusalNanos(HostedServer server, long nowNanos) {
    return server.hasIdempotentRequestWithin(MAX_REFUSAL_WITH_IDEMPOTENT_NANOS, nowNanos)
        ? MAX_REFUSAL_WITH_IDEMPOTENT_NANOS
        : MAX_REFUSAL_NANOS;
  }

  /** A busy server gets more time, since a request in flight may soon succeed. */
  private static long maxUnprovenRefusalNanos(HostedServer server) {
    return server.inFlight() == 0 ? MAX_IDLE_UNPROVEN_REFUSAL_NANOS : MAX_REFUSAL_NANOS;
  }

  private static AdmissionMode admissionMode(HostEvent.Admit admit) {
    return admit.head().options().admissionMode();
  }
}
