package org.clementinepost.node.metrics;

import com.codahale.metrics.MetricRegistry;

/** Writes the metrics of a node as text. */
@FunctionalInterface
public interface MetricsFormat {
  /** Writes all metrics. */
  String render(MetricRegistry registry);
}
