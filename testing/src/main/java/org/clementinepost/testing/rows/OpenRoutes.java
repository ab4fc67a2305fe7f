package org.clementinepost.testing.rows;

import java.util.Arrays;
import java.util.stream.Collectors;

/** A configuration in the platform's format, with one route that needs no key for each service. */
public final class OpenRoutes {
  /** The host of all routes. */
  public static final String HOST = "a.example";

  private OpenRoutes() {}

  /** Returns version 1 of a configuration, in which the path of a service is its name. */
  public static String configuration(String... services) {
    return "{\"version\":\"r1\",\"routes\":[%s],\"services\":[],\"tenants\":[]}"
        .formatted(Arrays.stream(services).map(OpenRoutes::route).collect(Collectors.joining(",")));
  }

  private static String route(String service) {
    return
"""
{"name":"%s","host":"%s","prefix":"/%s/","kind":"safe","timeoutMs":5000,\
"targetLatencyMs":1000,"priority":1,"service":"%s","maxAttempts":1,"authExempt":true}\
"""
        .formatted(service, HOST, service, service);
  }
}
