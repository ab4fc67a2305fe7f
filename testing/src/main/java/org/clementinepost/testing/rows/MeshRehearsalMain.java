package org.clementinepost.testing.rows;

import java.time.Duration;
import java.util.List;
import org.clementinepost.api.NetworkAddress;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Runs the training workload for the class data sharing (CDS) archive of a node: a row store, two
 * backend servers and a caller use two nodes, so that the JVM of a node can record the classes that
 * it loads while it serves requests.
 *
 * <p>The arguments are, for each of the two nodes, the port for callers and the port for backend
 * servers. The program prints the address of the store, waits until both nodes respond, sends its
 * requests and exits.
 */
public final class MeshRehearsalMain {
  private static final int REQUESTS = 40;
  private static final Duration MAX_WAIT = Duration.ofSeconds(60);
  private static final Duration RETRY_PERIOD = Duration.ofMillis(200);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
  private static final int OK_STATUS = 200;
  private static final String CONFIGURATION =
"""
{"version":"r1","routes":[{"name":"read","host":"a.example","prefix":"/read/",\
"kind":"safe","timeoutMs":2000,"targetLatencyMs":1000,"priority":1,\
"service":"s","maxAttempts":2,"authExempt":true},{"name":"write",\
"host":"a.example","prefix":"/write/","kind":"unsafe","timeoutMs":2000,\
"targetLatencyMs":1000,"priority":1,"service":"s","maxAttempts":2,\
"authExempt":false}],"services":[{"name":"s","healthPath":"/health",\
"maxConnections":100,"protocol":"h1","tls":false,"coldStartS":3.0,\
"coldPerS":10.0}],"limits":{},"tenants":[{"name":"t","apiKeys":["key"],\
"priority":1,"ratePerS":1000,"burst":1000}]}\
""";

  private MeshRehearsalMain() {}

  /** Runs until all requests have been answered. */
  public static void main(String[] args) {
    try (RowStoreStandIn store = RowStoreStandIn.start()) {
      store.put("op", "config", CONFIGURATION);
      System.out.println("store " + store.address());
      try (HeartbeatBackendStandIn first = startBackend("one", args[1]);
          HeartbeatBackendStandIn second = startBackend("two", args[3])) {
        sendRequests(args[0]);
        sendRequests(args[2]);
        System.out.println("answered " + (first.requestCount() + second.requestCount()));
      }
    }
  }

  private static HeartbeatBackendStandIn startBackend(String id, String port) {
    return HeartbeatBackendStandIn.start(
        id, "s", new NetworkAddress("127.0.0.1", Integer.parseInt(port)));
  }

  private static void sendRequests(String port) {
    sendRequest(port, "/read/x")
        .filter(status -> status == OK_STATUS)
        .repeatWhenEmpty(again -> again.delayElements(RETRY_PERIOD))
        .timeout(MAX_WAIT)
        .block();
    Flux.fromIterable(List.of("/read/x", "/write/y"))
        .repeat(REQUESTS)
        .concatMap(path -> sendRequest(port, path))
        .blockLast(MAX_WAIT);
  }

  private static Mono<Integer> sendRequest(String port, String path) {
    return HttpClient.create()
        .headers(
            headers ->
                headers
                    .set("Host", "a.example")
                    .set("Attempt-Id", path + System.nanoTime())
                    .set("Deadline-Ms", "2000")
                    .set("Authorization", "Bearer key"))
        .post()
        .uri("http://127.0.0.1:" + port + path)
        .send((request, outbound) -> outbound.sendString(Mono.just("body")))
        .responseSingle(
            (response, content) -> content.asByteArray().then(Mono.just(response.status().code())))
        .timeout(REQUEST_TIMEOUT)
        .onErrorResume(error -> Mono.empty());
  }
}
