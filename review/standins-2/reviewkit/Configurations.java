package reviewkit;

import java.util.List;
import java.util.stream.Collectors;

/** Configurations of a small deployment, as the operator writes them to the store. */
final class Configurations {
  static final String HOST = "a.example";

  /** The time-out of the routes beside a limited tenant. */
  static final int SHORT_TIMEOUT_MILLIS = 2_000;

  private static final int TIMEOUT_MILLIS = 4_000;
  private static final int COLD_START_SECONDS = 3;
  private static final int COLD_REQUESTS_PER_SECOND = 51;
  private static final String KEY = "key-of-t";
  private static final int HIGH_RATE = 1_000;

  private Configurations() {}

  /** Returns a configuration with an open safe and an open unsafe route to each service. */
  static String openRoutes(String version, List<String> services) {
    List<String> routes =
        services.stream()
            .flatMap(service -> openRoutes(service, TIMEOUT_MILLIS).stream())
            .collect(Collectors.toList());
    return configuration(version, routes, services, KEY, HIGH_RATE);
  }

  /**
   * Returns a configuration of one service with open routes, and a safe one for a limited tenant.
   */
  static String limitedTenant(String version, String service, String key, int perSecond) {
    List<String> routes =
        List.of(
            String.join(",", openRoutes(service, SHORT_TIMEOUT_MILLIS)),
            route("own", service, "safe", SHORT_TIMEOUT_MILLIS, false));
    return configuration(version, routes, List.of(service), key, perSecond);
  }

  private static List<String> openRoutes(String service, int timeoutMillis) {
    return List.of(
        route("read", service, "safe", timeoutMillis, true),
        route("book", service, "unsafe", timeoutMillis, true));
  }

  private static String configuration(
      String version, List<String> routes, List<String> services, String key, int perSecond) {
    return """
        {"version":"%s","routes":[%s],"services":[%s],\
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":8388608,"headerTimeoutMs":10000,\
        "idleTimeoutMs":60000},\
        "tenants":[{"name":"t","apiKeys":["%s"],"priority":1,"ratePerS":%d,"burst":%d}]}\
        """
        .formatted(
            version,
            String.join(",", routes),
            services.stream().map(Configurations::service).collect(Collectors.joining(",")),
            key,
            perSecond,
            perSecond);
  }

  /** Returns a route for the paths that begin with its use and its service. */
  private static String route(
      String use, String service, String kind, int timeoutMillis, boolean open) {
    return """
        {"name":"%s-%s","host":"%s","prefix":"/%s/%s/","kind":"%s","timeoutMs":%d,\
        "targetLatencyMs":2000,"priority":1,"service":"%s","maxAttempts":2,"authExempt":%s}\
        """
        .formatted(use, service, HOST, use, service, kind, timeoutMillis, service, open);
  }

  private static String service(String name) {
    return """
        {"name":"%s","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,\
        "coldStartS":%d,"coldPerS":%d}\
        """
        .formatted(name, COLD_START_SECONDS, COLD_REQUESTS_PER_SECOND);
  }
}
