package org.clementinepost.node.metrics;

import org.clementinepost.kernel.Reply;

/** What the metrics service is told. */
public sealed interface MetricsMessage {
  /** Something has happened once. */
  record Counted(String name) implements MetricsMessage {}

  /** Something has taken a time. */
  record Timed(String name, long micros) implements MetricsMessage {}

  /** Something has a value. */
  record Measured(String name, long value) implements MetricsMessage {}

  /** Asks for all metrics. */
  record Render(MetricsFormat format, Reply<String> reply) implements MetricsMessage {}
}
