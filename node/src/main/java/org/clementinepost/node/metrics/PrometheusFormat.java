package org.clementinepost.node.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Renders metrics in the Prometheus text format; durations are in seconds. */
public final class PrometheusFormat {
  private static final String PREFIX = "clementinepost_";
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private PrometheusFormat() {}

  /** Returns all metrics as text. */
  public static String render(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
      String name = prometheusName(counter.getKey()) + "_total";
      appendType(text, name, "counter");
      appendSample(text, name, "", counter.getValue().getCount());
    }
    for (Map.Entry<String, Gauge> gauge : registry.getGauges().entrySet()) {
      appendType(text, prometheusName(gauge.getKey()), "gauge");
      text.append(prometheusName(gauge.getKey())).append(' ').append(gauge.getValue().getValue());
      text.append('\n');
    }
    for (Map.Entry<String, Timer> timer : registry.getTimers().entrySet()) {
      appendSummary(text, prometheusName(timer.getKey()) + "_seconds", timer.getValue());
    }
    return text.toString();
  }

  private static void appendSummary(StringBuilder text, String name, Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    appendType(text, name, "summary");
    appendSample(text, name, "{quantile=\"0.5\"}", snapshot.getMedian() / NANOS_PER_SECOND);
    appendSample(
        text, name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / NANOS_PER_SECOND);
    appendSample(
        text, name, "{quantile=\"0.999\"}", snapshot.get999thPercentile() / NANOS_PER_SECOND);
    appendSample(text, name + "_count", "", timer.getCount());
  }

  private static void appendType(StringBuilder text, String name, String type) {
    text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
  }

  private static void appendSample(StringBuilder text, String name, String labels, Number value) {
    text.append(name).append(labels).append(' ').append(value).append('\n');
  }

  private static String prometheusName(String metric) {
    return PREFIX + metric.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "_");
  }
}
