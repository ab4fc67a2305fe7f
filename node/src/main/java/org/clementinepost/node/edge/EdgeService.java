package org.clementinepost.node.edge;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.RequestId;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Owns the port for callers. */
public final class EdgeService implements Behaviour<EdgeMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<EdgeMessage> NAME = ServiceName.of("edge", EdgeMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int ID_RADIX = 36;

  private final RequestPipeline pipeline;
  private final DisposableServer server;
  private final String idPrefix;
  private final AtomicLong nextId = new AtomicLong();

  private EdgeService(TaskContext<EdgeMessage> context, Member self, NetworkAddress address) {
    this.pipeline =
        new RequestPipeline(self.node(), context.clock(), context.scheduler(), context.registry());
    this.idPrefix = self.node() + "-" + Long.toString(self.incarnation(), ID_RADIX) + "-";
    this.server =
        HttpServer.create()
            .host(address.host())
            .port(address.port())
            .idleTimeout(IDLE_TIMEOUT)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
            .handle(this::handle)
            .bindNow();
  }

  /** Defines the service on a node. */
  public static ServiceDefinition<EdgeMessage> definition(Member self, NetworkAddress address) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new EdgeService(context, self, address));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    RequestId id = new RequestId(idPrefix + Long.toString(nextId.incrementAndGet(), ID_RADIX));
    Flux<Chunk> body = request.receive().asByteArray().map(Chunk::owning);
    return pipeline
        .run(RequestReader.read(id, request), new UploadBody(body))
        .flatMap(
            answer ->
                Flux.from(AnswerWriter.write(id, request, response, answer))
                    .doOnError(
                        error ->
                            logger.atWarning().log(
                                "event=answer-cut request=%s detail=%s", id, error))
                    .then());
  }

  @Override
  public void receive(EdgeMessage message) {
    ((EdgeMessage.PortAsked) message).reply().send(server.port());
  }

  @Override
  public void stop() {
    server.disposeNow();
  }
}
