package org.clementinepost.node.host;

import io.vavr.control.Option;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Address;
import org.clementinepost.node.metrics.MetricsMessage;
import org.clementinepost.policy.host.HostEffect;
import org.clementinepost.policy.host.QueueGroup;

/** Records what an operator sees of the requests that wait at a host, or hold its slots. */
final class QueueMetrics {
  private final Address<MetricsMessage> metrics;

  QueueMetrics(Address<MetricsMessage> metrics) {
    this.metrics = metrics;
  }

  void record(HostEffect.WaitingChanged changed) {
    metrics.send(new MetricsMessage.SetGauge("host.waiting", changed.waiting()));
  }

  void record(HostEffect.AdmissionDecided decided) {
    Option<Failure> failure = decided.result().swap().toOption();
    if (failure.isDefined()) {
      count("host.refused." + failure.get().code().number());
      decided
          .queueRefusal()
          .forEach(cause -> count("host.refused.queue." + cause.name().toLowerCase(Locale.ROOT)));
      return;
    }
    if (decided.group().contains(QueueGroup.LATE)) {
      count("host.served-late");
    }
    long waitedMicros = TimeUnit.NANOSECONDS.toMicros(decided.waitedNanos());
    metrics.send(new MetricsMessage.RecordDuration("host.wait", waitedMicros));
  }

  /** Records how long the request held its slot, and for how long after the server's response. */
  void record(HostEffect.SlotReleased released) {
    long heldMicros = TimeUnit.NANOSECONDS.toMicros(released.heldNanos());
    String kind = "priority-" + released.request().kind().priority();
    metrics.send(new MetricsMessage.RecordDuration("host.slot.held." + kind, heldMicros));
    metrics.send(
        new MetricsMessage.RecordDuration(
            "host.slot.after-run." + kind,
            Math.max(0, heldMicros - released.end().serverMicros())));
  }

  void recordExpiredSlot() {
    count("host.slot.expired");
  }

  private void count(String name) {
    metrics.send(new MetricsMessage.IncrementCounter(name));
  }
}
