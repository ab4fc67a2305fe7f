package org.clementinepost.node.operator;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.node.membership.MembershipMessage;
import org.clementinepost.node.membership.MembershipService;
import org.clementinepost.node.metrics.JsonFormat;
import org.clementinepost.node.metrics.MetricsFormat;
import org.clementinepost.node.metrics.MetricsMessage;
import org.clementinepost.node.metrics.MetricsService;
import org.clementinepost.node.metrics.PrometheusFormat;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** Serves health, readiness, status and metrics to operators over HTTP. */
public final class OperatorService implements Behaviour<OperatorMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<OperatorMessage> NAME =
      ServiceName.of("operator", OperatorMessage.class);

  private static final String JSON_CONTENT_TYPE = "application/json";
  private static final String TEXT_CONTENT_TYPE = "text/plain; version=0.0.4";
  private static final int OK_STATUS = 200;
  private static final int SERVICE_UNAVAILABLE_STATUS = 503;

  private final TaskContext<OperatorMessage> context;
  private final Address<MetricsMessage> metrics;
  private final String readinessPath;
  private final DisposableServer server;
  private NodeStatus status;

  private OperatorService(
      TaskContext<OperatorMessage> context,
      Member self,
      NetworkAddress address,
      String readinessPath) {
    this.readinessPath = readinessPath;
    this.context = context;
    this.metrics = context.registry().find(MetricsService.NAME);
    this.status = NodeStatus.atStart(self);
    this.server =
        HttpServer.create().host(address.host()).port(address.port()).route(this::route).bindNow();
    ConfigurationService.subscribe(context, OperatorMessage.Configured::new);
    context
        .registry()
        .find(MembershipService.NAME)
        .send(
            new MembershipMessage.Subscribe(
                others -> context.self().send(new OperatorMessage.MembersChanged(others))));
  }

  /**
   * Returns the definition of the service.
   *
   * @param readinessPath the path at which the node reports whether it is ready
   */
  public static ServiceDefinition<OperatorMessage> definition(
      Member self, NetworkAddress address, String readinessPath) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new OperatorService(context, self, address, readinessPath));
  }

  private void route(HttpServerRoutes routes) {
    routes
        .get(
            "/health",
            (request, response) ->
                respond(response, OK_STATUS, TEXT_CONTENT_TYPE, Mono.just("ok\n")))
        .get(readinessPath, (request, response) -> respondWithReadiness(response))
        .get("/status", (request, response) -> respondWithStatus(response))
        .get(
            "/metrics",
            (request, response) ->
                respondWithMetrics(response, TEXT_CONTENT_TYPE, PrometheusFormat::render))
        .get(
            "/metrics.json",
            (request, response) ->
                respondWithMetrics(response, JSON_CONTENT_TYPE, JsonFormat::render));
  }

  private Publisher<Void> respondWithReadiness(HttpServerResponse response) {
    return fetchStatus()
        .flatMap(
            current ->
                Mono.from(
                    respond(
                        response,
                        current.isReady() ? OK_STATUS : SERVICE_UNAVAILABLE_STATUS,
                        JSON_CONTENT_TYPE,
                        Mono.just(current.toJson()))));
  }

  private Publisher<Void> respondWithStatus(HttpServerResponse response) {
    return respond(response, OK_STATUS, JSON_CONTENT_TYPE, fetchStatus().map(NodeStatus::toJson));
  }

  private Mono<NodeStatus> fetchStatus() {
    return Mono.create(sink -> context.self().send(new OperatorMessage.GetStatus(sink::success)));
  }

  private Publisher<Void> respondWithMetrics(
      HttpServerResponse response, String contentType, MetricsFormat format) {
    Mono<String> text =
        Mono.create(sink -> metrics.send(new MetricsMessage.Render(format, sink::success)));
    return respond(response, OK_STATUS, contentType, text);
  }

  private static Publisher<Void> respond(
      HttpServerResponse response, int httpStatus, String contentType, Mono<String> body) {
    return response
        .status(httpStatus)
        .header(HttpHeaderNames.CONTENT_TYPE, contentType)
        .sendString(body);
  }

  @Override
  public void receive(OperatorMessage message) {
    if (message instanceof OperatorMessage.Configured configured) {
      long version = configured.snapshot().version();
      status = status.withConfigurationVersion(version);
      metrics.send(new MetricsMessage.SetGauge("configuration.version", version));
      return;
    }
    if (message instanceof OperatorMessage.MembersChanged members) {
      int others = members.others().size();
      status = status.withOtherNodes(others);
      metrics.send(new MetricsMessage.SetGauge("membership.other-nodes", others));
      return;
    }
    if (message instanceof OperatorMessage.Stopping) {
      status = status.asStopping();
      return;
    }
    if (message instanceof OperatorMessage.StalledTasksChanged stalled) {
      status = status.withStalledTasks(stalled.tasks());
      return;
    }
    if (message instanceof OperatorMessage.GetStatus request) {
      request.reply().send(status);
      return;
    }
    ((OperatorMessage.GetPort) message).reply().send(server.port());
  }

  @Override
  public void stop() {
    server.dispose();
  }
}
