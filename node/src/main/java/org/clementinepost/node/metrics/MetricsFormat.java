package org.clementinepost.node.metrics;

import com.codahale.metrics.MetricRegistry;

/** Renders the metrics of a node as text. */
@FunctionalInterface
public interface MetricsFormat {
  /** Returns all metrics as text. */
  String render(MetricRegistry registry);
}
