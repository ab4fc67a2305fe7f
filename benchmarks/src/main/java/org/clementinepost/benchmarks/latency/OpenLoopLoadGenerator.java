package org.clementinepost.benchmarks.latency;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.LongStream;
import org.HdrHistogram.ConcurrentHistogram;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests at a fixed rate, independently of how fast responses arrive.
 *
 * <p>The latency of a request is measured from its scheduled send time, not from the time at which
 * it was sent, so that a stall counts for every request that it delayed (this avoids coordinated
 * omission).
 */
final class OpenLoopLoadGenerator {
  private static final long TICK_MILLIS = 1;
  private static final int MAX_CONNECTIONS = 64;
  private static final int MAX_PENDING_REQUESTS = 100_000;
  private static final int OK_STATUS = 200;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final long MAX_TRACKED_MICROS = TimeUnit.SECONDS.toMicros(60);

  private final HttpClient client;
  private final ConnectionProvider connections;

  OpenLoopLoadGenerator(String key) {
    connections =
        ConnectionProvider.builder("load")
            .maxConnections(MAX_CONNECTIONS)
            .pendingAcquireMaxCount(MAX_PENDING_REQUESTS)
            .build();
    client =
        HttpClient.create(connections)
            .headers(headers -> headers.set("authorization", "Bearer " + key));
  }

  LoadResult run(LoadTarget target, int requestsPerSecond, Duration duration) {
    ConcurrentHistogram latencyMicros = new ConcurrentHistogram(MAX_TRACKED_MICROS, 3);
    LongAdder succeeded = new LongAdder();
    LongAdder failed = new LongAdder();
    long startNanos = System.nanoTime();
    long totalRequests = requestsPerSecond * duration.toSeconds();
    double nanosPerRequest = (double) TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
    Flux.interval(Duration.ZERO, Duration.ofMillis(TICK_MILLIS))
        .onBackpressureDrop()
        .map(tick -> dueCount(startNanos, nanosPerRequest, totalRequests))
        .scan(new Batch(0, 0), Batch::advanceTo)
        .takeUntil(batch -> batch.to() >= totalRequests)
        .concatMapIterable(Batch::requestNumbers)
        .flatMap(
            number ->
                send(target)
                    .doOnNext(
                        ok -> {
                          long dueNanos = startNanos + (long) (number * nanosPerRequest);
                          long elapsedMicros =
                              TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
                          latencyMicros.recordValue(Math.min(elapsedMicros, MAX_TRACKED_MICROS));
                          (ok ? succeeded : failed).increment();
                        }),
            MAX_PENDING_REQUESTS)
        .blockLast();
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    return new LoadResult(
        requestsPerSecond, succeeded.sum(), failed.sum(), elapsedMillis, latencyMicros);
  }

  private static long dueCount(long startNanos, double nanosPerRequest, long totalRequests) {
    long elapsedNanos = System.nanoTime() - startNanos;
    return Math.min(totalRequests, (long) (elapsedNanos / nanosPerRequest) + 1);
  }

  private Mono<Boolean> send(LoadTarget target) {
    return client
        .get()
        .uri(target.url())
        .responseSingle(
            (response, body) ->
                body.asByteArray()
                    .map(bytes -> response.status().code() == OK_STATUS)
                    .defaultIfEmpty(response.status().code() == OK_STATUS))
        .timeout(REQUEST_TIMEOUT)
        .onErrorReturn(false);
  }

  void close() {
    connections.dispose();
  }

  /** The requests that became due since the previous tick: {@code from} to {@code to} - 1. */
  private record Batch(long from, long to) {
    Batch advanceTo(long dueCount) {
      return new Batch(to, Math.max(to, dueCount));
    }

    Iterable<Long> requestNumbers() {
      return LongStream.range(from, to).boxed().toList();
    }
  }
}
