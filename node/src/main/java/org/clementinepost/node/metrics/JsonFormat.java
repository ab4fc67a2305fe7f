package org.clementinepost.node.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.TimeUnit;

/** Writes metrics as JSON; times are in milliseconds, rates a second. */
public final class JsonFormat {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

  private JsonFormat() {}

  /** Writes all metrics. */
  public static String render(MetricRegistry registry) {
    try {
      return MAPPER.writeValueAsString(registry);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("metrics in memory cannot be written", e);
    }
  }
}
