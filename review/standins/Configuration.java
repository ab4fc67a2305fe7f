import java.util.ArrayList;
import java.util.List;

/** Builds the text of a configuration, as the operator writes it into the store. */
final class Configuration {
  private final List<String> routes = new ArrayList<>();
  private final List<String> services = new ArrayList<>();
  private final List<String> tenants = new ArrayList<>();

  Configuration route(String name, String prefix, String kind, String service) {
    routes.add(
        String.format(
            "{\"name\":\"%s\",\"host\":\"jepu9.example\",\"prefix\":\"%s\",\"kind\":\"%s\","
                + "\"timeoutMs\":2500,\"targetLatencyMs\":1200,\"priority\":1,\"service\":\"%s\","
                + "\"maxAttempts\":2,\"authExempt\":false}",
            name, prefix, kind, service));
    return this;
  }

  Configuration service(String name) {
    services.add(
        String.format(
            "{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConnections\":360,"
                + "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":10.0}",
            name));
    return this;
  }

  Configuration tenant(String name, String key, int ratePerSecond, int burst) {
    tenants.add(
        String.format(
            "{\"name\":\"%s\",\"apiKeys\":[\"%s\"],\"priority\":1,\"ratePerS\":%d,\"burst\":%d}",
            name, key, ratePerSecond, burst));
    return this;
  }

  String text(int version) {
    return String.format(
        "{\"version\":\"r%d\",\"routes\":[%s],\"services\":[%s],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[%s]}",
        version,
        String.join(",", routes),
        String.join(",", services),
        String.join(",", tenants));
  }
}
