package org.clementinepost.node.metrics;

import org.clementinepost.kernel.Reply;

/** What the metrics service is told. */
public sealed interface MetricsMessage {
  /** Something has happened once. */
  record IncrementCounter(String name) implements MetricsMessage {}

  /** Something has taken a time. */
  record RecordDuration(String name, long micros) implements MetricsMessage {}

  /** Something has a value. */
  record SetGauge(String name, long value) implements MetricsMessage {}

  /** Asks for all metrics. */
  record Render(MetricsFormat format, Reply<String> reply) implements MetricsMessage {}
}
