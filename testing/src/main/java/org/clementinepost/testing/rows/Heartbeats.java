package org.clementinepost.testing.rows;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinepost.api.NetworkAddress;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Registers a backend server with its node by heartbeats, in the platform's protocol. */
public final class Heartbeats implements AutoCloseable {
  private static final Duration PERIOD = Duration.ofMillis(500);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int DEFAULT_SLOTS = 5;

  private final NetworkAddress nodeAddress;
  private final String id;
  private final String service;
  private final NetworkAddress serverAddress;
  private final int slots;
  private final AtomicLong sequence = new AtomicLong();
  private final Disposable subscription;

  private Heartbeats(Builder builder) {
    nodeAddress = builder.nodeAddress;
    id = builder.id;
    service = builder.service;
    serverAddress = builder.serverAddress;
    slots = builder.slots;
    subscription =
        Flux.interval(Duration.ZERO, PERIOD)
            .onBackpressureDrop()
            .concatMap(tick -> send("ready").onErrorComplete())
            .subscribe();
  }

  /** Returns a builder for the heartbeats of a server to a node. */
  public static Builder builder(
      NetworkAddress nodeAddress, String id, String service, NetworkAddress serverAddress) {
    return new Builder(nodeAddress, id, service, serverAddress);
  }

  /** Ends the heartbeats and reports that the server is draining. */
  Mono<Void> drain() {
    subscription.dispose();
    return send("draining");
  }

  private Mono<Void> send(String state) {
    String body =
"""
{"service":"%s","address":"%s","zone":"a","version":"v1","slots":%d,"state":"%s",\
"coldRemainingMs":0,"sequence":%d,"born":1}\
"""
            .formatted(service, serverAddress, slots, state, sequence.incrementAndGet());
    return HttpClient.create()
        .post()
        .uri("http://" + nodeAddress + "/-/rpc?call=instances.heartbeat&of=" + id)
        .send((request, outbound) -> outbound.sendString(Mono.just(body)))
        .response()
        .timeout(TIMEOUT)
        .then();
  }

  @Override
  public void close() {
    subscription.dispose();
  }

  /** Builds and starts heartbeats. */
  public static final class Builder {
    private final NetworkAddress nodeAddress;
    private final String id;
    private final String service;
    private final NetworkAddress serverAddress;
    private int slots = DEFAULT_SLOTS;

    private Builder(
        NetworkAddress nodeAddress, String id, String service, NetworkAddress serverAddress) {
      this.nodeAddress = nodeAddress;
      this.id = id;
      this.service = service;
      this.serverAddress = serverAddress;
    }

    /** Sets the number of requests that the server reports to run at once. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sends the first heartbeat. */
    public Heartbeats start() {
      return new Heartbeats(this);
    }
  }
}
