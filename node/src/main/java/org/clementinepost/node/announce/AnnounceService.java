package org.clementinepost.node.announce;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.policy.host.AnnounceProtocol;
import org.clementinepost.policy.host.Announcement;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Owns the port on which the backend servers of this VM announce themselves. */
public final class AnnounceService implements Behaviour<AnnounceMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<AnnounceMessage> NAME =
      ServiceName.of("announce", AnnounceMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String JSON = "application/json";
  private static final int ACCEPTED_STATUS = 202;

  /** The protocol of the product itself. */
  public static final AnnounceProtocol OWN_PROTOCOL =
      new AnnounceProtocol(AnnouncementReader::read, ACCEPTED_STATUS, "", Option.none());

  private final AnnounceProtocol protocol;
  private final Address<HostMessage> host;
  private final Address<FirstLookMessage> firstLook;
  private final DisposableServer server;

  private AnnounceService(
      TaskContext<AnnounceMessage> context, NetworkAddress address, AnnounceProtocol protocol) {
    this.protocol = protocol;
    this.host = context.registry().find(HostService.NAME);
    this.firstLook = context.registry().find(FirstLookService.NAME);
    this.server =
        HttpServer.create()
            .host(address.host())
            .port(address.port())
            .handle(this::announce)
            .bindNow();
  }

  /** Defines the service. */
  public static ServiceDefinition<AnnounceMessage> definition(
      NetworkAddress address, AnnounceProtocol protocol) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new AnnounceService(context, address, protocol));
  }

  private Publisher<Void> announce(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .defaultIfEmpty(new byte[0])
        .map(body -> protocol.reader().read(request.uri(), body))
        .flatMap(
            read ->
                read.fold(
                    failure -> refuse(response, failure),
                    announcement -> take(response, announcement)));
  }

  private Mono<Void> take(HttpServerResponse response, Announcement announcement) {
    if (!host.send(new HostMessage.Announced(announcement)).accepted()) {
      return refuse(response, Failure.of(ResultCode.NODE_OVERLOADED));
    }
    firstLook.send(new FirstLookMessage.Announced());
    return response
        .status(protocol.acknowledgedStatus())
        .header(HttpHeaderNames.CONTENT_TYPE, JSON)
        .sendString(Mono.just(protocol.acknowledgement()))
        .then();
  }

  private static Mono<Void> refuse(HttpServerResponse response, Failure failure) {
    logger.atWarning().log(
        "event=announcement-refused code=%d detail=%s", failure.code().number(), failure.detail());
    return response
        .status(failure.code().httpStatus())
        .sendString(Mono.just(failure.code().number() + " " + failure.detail() + "\n"))
        .then();
  }

  @Override
  public void receive(AnnounceMessage message) {
    ((AnnounceMessage.PortAsked) message).reply().send(server.port());
  }

  @Override
  public void stop() {
    server.dispose();
  }
}
