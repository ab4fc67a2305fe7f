package org.clementinepost.node.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Writes metrics in the text format that scrapers read; times are in seconds. */
public final class ScrapeFormat {
  private static final String PREFIX = "clementinepost_";
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private ScrapeFormat() {}

  /** Writes all metrics. */
  public static String render(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
      String name = name(counter.getKey()) + "_total";
      type(text, name, "counter");
      line(text, name, "", counter.getValue().getCount());
    }
    for (Map.Entry<String, Gauge> gauge : registry.getGauges().entrySet()) {
      type(text, name(gauge.getKey()), "gauge");
      text.append(name(gauge.getKey())).append(' ').append(gauge.getValue().getValue());
      text.append('\n');
    }
    for (Map.Entry<String, Timer> timer : registry.getTimers().entrySet()) {
      summary(text, name(timer.getKey()) + "_seconds", timer.getValue());
    }
    return text.toString();
  }

  private static void summary(StringBuilder text, String name, Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    type(text, name, "summary");
    line(text, name, "{quantile=\"0.5\"}", snapshot.getMedian() / NANOS_PER_SECOND);
    line(text, name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / NANOS_PER_SECOND);
    line(text, name, "{quantile=\"0.999\"}", snapshot.get999thPercentile() / NANOS_PER_SECOND);
    line(text, name + "_count", "", timer.getCount());
  }

  private static void type(StringBuilder text, String name, String type) {
    text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
  }

  private static void line(StringBuilder text, String name, String labels, Number value) {
    text.append(name).append(labels).append(' ').append(value).append('\n');
  }

  private static String name(String metric) {
    return PREFIX + metric.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "_");
  }
}
