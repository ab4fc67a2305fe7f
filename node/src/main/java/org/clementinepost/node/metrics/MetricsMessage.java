package org.clementinepost.node.metrics;

import org.clementinepost.kernel.Reply;

/** A message to the {@link MetricsService}. */
public sealed interface MetricsMessage {
  /** Increments a counter by one. */
  record IncrementCounter(String name) implements MetricsMessage {}

  /** Adds a number to a counter. */
  record AddToCounter(String name, long number) implements MetricsMessage {}

  /** Records a duration in a timer. */
  record RecordDuration(String name, long micros) implements MetricsMessage {}

  /** Sets the value of a gauge. */
  record SetGauge(String name, long value) implements MetricsMessage {}

  /** Requests all metrics in a format. */
  record Render(MetricsFormat format, Reply<String> reply) implements MetricsMessage {}
}
