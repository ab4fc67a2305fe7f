package org.clementinepost.node.announce;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Ask;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.exchange.BodyBuffer;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.policy.host.Announcement;
import org.clementinepost.policy.host.AnnouncementProtocol;
import org.clementinepost.policy.host.Departures;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Accepts the announcements of the backend servers on this VM over HTTP. */
public final class AnnounceService implements Behaviour<AnnounceMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<AnnounceMessage> NAME =
      ServiceName.of("announce", AnnounceMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String JSON = "application/json";
  private static final int DEFAULT_ACKNOWLEDGEMENT_STATUS = 202;

  /** Limits the memory for an announcement, which has only a few short fields. */
  private static final int MAX_ANNOUNCEMENT_BYTES = 64 << 10;

  /** The longest pause of a backend server in the middle of an announcement. */
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

  /** A backend server waits about a second for the acknowledgement of an announcement. */
  private static final Duration RECORD_TIMEOUT = Duration.ofMillis(800);

  /** Clementinepost's own announcement protocol. */
  public static final AnnouncementProtocol DEFAULT_PROTOCOL =
      new AnnouncementProtocol(
          AnnouncementReader::read, DEFAULT_ACKNOWLEDGEMENT_STATUS, "", Option.none());

  private final AnnouncementProtocol protocol;
  private final Scheduler scheduler;
  private final Address<HostMessage> host;
  private final Address<DepartureMessage> departures;
  private final Address<StartupHealthCheckMessage> startupHealthCheck;
  private final DisposableServer server;

  private AnnounceService(
      TaskContext<AnnounceMessage> context, NetworkAddress address, AnnouncementProtocol protocol) {
    this.protocol = protocol;
    this.scheduler = context.scheduler();
    this.departures = context.registry().find(DepartureService.NAME);
    this.host = context.registry().find(HostService.NAME);
    this.startupHealthCheck = context.registry().find(StartupHealthCheckService.NAME);
    this.server =
        HttpServer.create()
            .host(address.host())
            .port(address.port())
            .readTimeout(READ_TIMEOUT)
            .handle(this::handle)
            .bindNow();
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<AnnounceMessage> definition(
      NetworkAddress address, AnnouncementProtocol protocol) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new AnnounceService(context, address, protocol));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return BodyBuffer.read(
            request.receive().asByteArray().map(Chunk::wrap),
            MAX_ANNOUNCEMENT_BYTES,
            MAX_ANNOUNCEMENT_BYTES)
        .flatMap(
            buffered ->
                buffered.complete()
                    ? handleAnnouncement(request, response, buffered)
                    : refuseTooLong(response));
  }

  private Mono<Void> handleAnnouncement(
      HttpServerRequest request, HttpServerResponse response, BodyBuffer.BufferedBody buffered) {
    return buffered
        .body()
        .map(Chunk::bytes)
        .next()
        .defaultIfEmpty(new byte[0])
        .map(body -> protocol.reader().read(request.uri(), body))
        .flatMap(
            result ->
                result.fold(
                    failure -> refuse(response, failure),
                    announcement -> acceptAnnouncement(response, announcement)));
  }

  /** Closes the connection, since the unread rest of the body precedes any further request. */
  private static Mono<Void> refuseTooLong(HttpServerResponse response) {
    response.keepAlive(false);
    return refuse(
        response,
        Failure.of(ResultCode.BODY_TOO_LARGE, "more than " + MAX_ANNOUNCEMENT_BYTES + " bytes"));
  }

  private Mono<Void> acceptAnnouncement(HttpServerResponse response, Announcement announcement) {
    if (!host.send(new HostMessage.Announced(announcement)).accepted()) {
      return refuse(response, Failure.of(ResultCode.NODE_OVERLOADED));
    }
    startupHealthCheck.send(new StartupHealthCheckMessage.Announced());
    return recordDeparture(announcement)
        .flatMap(
            result ->
                result.fold(
                    failure -> refuse(response, failure), recorded -> acknowledge(response)));
  }

  /**
   * Records that a backend server leaves. Its announcement is acknowledged only when a restart of
   * this node can't bring the server back.
   */
  private Mono<Either<Failure, Departures>> recordDeparture(Announcement announcement) {
    return announcement
        .departureOrder()
        .map(
            order ->
                Ask.<DepartureMessage, Departures>of(
                        departures,
                        reply -> new DepartureMessage.Record(announcement.server(), order, reply))
                    .timeout(
                        RECORD_TIMEOUT,
                        Mono.just(Either.left(Failure.of(ResultCode.PLATFORM_UNAVAILABLE))),
                        scheduler))
        .getOrElse(Mono.just(Either.right(Departures.none())));
  }

  private Mono<Void> acknowledge(HttpServerResponse response) {
    return response
        .status(protocol.acknowledgementStatus())
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
    ((AnnounceMessage.GetPort) message).reply().send(server.port());
  }

  @Override
  public void stop() {
    server.dispose();
  }
}
