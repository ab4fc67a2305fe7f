package org.clementinepost.testing.rows;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.testing.StandInServer;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A stand-in for a backend server that registers with its node by heartbeats.
 *
 * <p>It uses the platform's protocol; {@code BackendServerStandIn} announces itself by the protocol
 * of this project. Its responses carry the attempt id of the request and the id of the server.
 */
public final class HeartbeatBackendStandIn implements AutoCloseable {
  private static final int OK_STATUS = 200;

  private final String id;
  private final StandInServer server;
  private final AtomicInteger status = new AtomicInteger(OK_STATUS);
  private final AtomicInteger requestCount = new AtomicInteger();
  private final AtomicReference<String> lastHeaders = new AtomicReference<>("");
  private final AtomicReference<Mono<Void>> responseGate = new AtomicReference<>(Mono.empty());
  private final Heartbeats heartbeats;

  private HeartbeatBackendStandIn(String id, String service, NetworkAddress nodeAddress) {
    this.id = id;
    this.server = StandInServer.bind("127.0.0.1", 0, HttpServer.create().handle(this::handle));
    this.heartbeats = Heartbeats.builder(nodeAddress, id, service, server.address()).start();
  }

  /** Starts on a free port and sends heartbeats to a node. */
  public static HeartbeatBackendStandIn start(
      String id, String service, NetworkAddress nodeAddress) {
    return new HeartbeatBackendStandIn(id, service, nodeAddress);
  }

  /** Sets the status of all further responses. */
  public void setResponseStatus(int newStatus) {
    status.set(newStatus);
  }

  /** Holds back all further responses until the returned action is run. */
  public Runnable holdResponses() {
    Sinks.Empty<Void> release = Sinks.empty();
    responseGate.set(release.asMono());
    return release::tryEmitEmpty;
  }

  /** Returns the number of requests received. */
  public int requestCount() {
    return requestCount.get();
  }

  /** Returns the headers of the last request. */
  public String lastHeaders() {
    return lastHeaders.get();
  }

  /** Reports that the server is draining; completes once the node has responded. */
  public Mono<Void> drain() {
    return heartbeats.drain();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    requestCount.incrementAndGet();
    lastHeaders.set(request.requestHeaders().toString());
    response.header("Attempt-Id", request.requestHeaders().get("Attempt-Id", ""));
    response.header("Server-Stamp", id);
    return request
        .receive()
        .aggregate()
        .then(Mono.defer(responseGate::get))
        .then(response.status(status.get()).sendString(Mono.just("of " + id)).then());
  }

  @Override
  public void close() {
    heartbeats.close();
    server.close();
  }
}
