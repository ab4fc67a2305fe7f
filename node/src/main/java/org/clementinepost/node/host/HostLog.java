package org.clementinepost.node.host;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.clementinepost.policy.host.HostEffect;
import org.clementinepost.policy.host.QueueGroup;
import org.clementinepost.policy.host.QueueRefusal;
import org.clementinepost.policy.host.RequestKind;

/** Writes the log lines of a host's decisions on requests and on the health of its servers. */
final class HostLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private HostLog() {}

  static void log(HostEffect.AdmissionDecided decided) {
    logger.atInfo().log(
        "event=admission request=%s attempt=%d server=%s result=%s waitedMillis=%d group=%s"
            + " queue=%s mode=%s leftMillis=%d suspected=%b",
        decided.head().requestId(),
        decided.head().attempt(),
        decided.server(),
        decided.result().fold(failure -> failure.code().number(), admission -> 0),
        TimeUnit.NANOSECONDS.toMillis(decided.waitedNanos()),
        decided.group().map(QueueGroup::name).getOrElse("NONE"),
        decided.queueRefusal().map(QueueRefusal::name).getOrElse("NONE"),
        decided.head().options().admissionMode(),
        decided.head().timeoutMillis() - TimeUnit.NANOSECONDS.toMillis(decided.waitedNanos()),
        decided.toSuspected());
  }

  static void log(HostEffect.SlotReleased released) {
    RequestKind kind = released.request().kind();
    logger.atInfo().log(
        "event=slot-released request=%s server=%s idempotent=%b priority=%d targetMillis=%d"
            + " heldMicros=%d serverMicros=%d status=%d result=%d",
        released.request().request(),
        released.request().server(),
        kind.idempotent(),
        kind.priority(),
        kind.targetLatencyMillis(),
        TimeUnit.NANOSECONDS.toMicros(released.heldNanos()),
        released.end().serverMicros(),
        released.end().status(),
        released.end().failure().map(failure -> failure.code().number()).getOrElse(0));
  }

  static void log(HostEffect.SlotExpired expired) {
    logger.atWarning().log(
        "event=slot-expired request=%s server=%s heldMillis=%d",
        expired.request().request(),
        expired.request().server(),
        TimeUnit.NANOSECONDS.toMillis(expired.heldNanos()));
  }

  static void log(HostEffect.SuspicionChanged changed) {
    logger.atWarning().log(
        "event=server-health server=%s suspected=%s status=%d code=%d",
        changed.server(),
        changed.suspected(),
        changed.cause().status(),
        changed.cause().failure().map(failure -> failure.code().number()).getOrElse(0));
  }
}
