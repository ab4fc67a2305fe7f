package reviewkit;

import java.util.List;
import java.util.stream.Collectors;

/** Configurations of a small deployment, as the operator writes them to the store. */
final class Configurations {
  static final String HOST = "a.example";

  static final int SHORT_TIMEOUT_MILLIS = 2_000;

  private static final double COLD_START_SECONDS = 3.0;
  private static final int COLD_REQUESTS_PER_SECOND = 51;

  private Configurations() {}

  /** Returns a configuration with an open safe and an open unsafe route to each service. */
  static String openRoutes(String version, List<String> services) {
    String routes =
        services.stream()
            .flatMap(
                service ->
                    List.of(
                        route("read-" + service, "/read/" + service + "/", "safe", service),
                        route("book-" + service, "/book/" + service + "/", "unsafe", service))
                        .stream())
            .collect(Collectors.joining(","));
    String list =
        services.stream().map(Configurations::service).collect(Collectors.joining(","));
    return "{\"version\":\"%s\",\"routes\":[%s],\"services\":[%s],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":8388608,\"headerTimeoutMs\":10000,\"idleTimeoutMs\":60000},\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"key-of-t\"],\"priority\":1,\"ratePerS\":1000,\"burst\":1000}]}"
        .formatted(version, routes, list);
  }

  /** Returns a configuration of one service with open routes, and a safe one for a limited tenant. */
  static String limitedTenant(String version, String service, String key, int perSecond) {
    String keyed =
        route("own", "/own/" + service + "/", "safe", service)
            .replace("\"authExempt\":true", "\"authExempt\":false");
    String routes =
        route("read", "/read/" + service + "/", "safe", service)
            + ","
            + route("book", "/book/" + service + "/", "unsafe", service)
            + ","
            + keyed;
    return "{\"version\":\"%s\",\"routes\":[%s],\"services\":[%s],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":8388608,\"headerTimeoutMs\":10000,\"idleTimeoutMs\":60000},\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"%s\"],\"priority\":1,\"ratePerS\":%d,\"burst\":%d}]}"
        .formatted(
            version,
            routes.replace("\"timeoutMs\":4000", "\"timeoutMs\":" + SHORT_TIMEOUT_MILLIS),
            service(service), key, perSecond, perSecond);
  }

  private static String route(String name, String prefix, String kind, String service) {
    return "{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"%s\",\"kind\":\"%s\",\"timeoutMs\":4000,\"targetLatencyMs\":2000,\"priority\":1,\"service\":\"%s\",\"maxAttempts\":2,\"authExempt\":true}"
        .formatted(name, HOST, prefix, kind, service);
  }

  private static String service(String name) {
    return "{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":%.1f,\"coldPerS\":%d}"
        .formatted(name, COLD_START_SECONDS, COLD_REQUESTS_PER_SECOND);
  }
}
