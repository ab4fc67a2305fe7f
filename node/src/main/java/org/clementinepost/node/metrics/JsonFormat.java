package org.clementinepost.node.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.TimeUnit;

/** Renders metrics as JSON; durations are in milliseconds, rates per second. */
public final class JsonFormat {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

  private JsonFormat() {}

  /** Returns all metrics as JSON. */
  public static String render(MetricRegistry registry) {
    try {
      return MAPPER.writeValueAsString(registry);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize the metrics as JSON", e);
    }
  }
}
