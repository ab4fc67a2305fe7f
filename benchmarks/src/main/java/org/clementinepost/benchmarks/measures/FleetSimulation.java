package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.routing.RoutingEffect;
import org.clementinepost.policy.routing.RoutingEvent;

/** Simulates the nodes of a deployment, the backend servers of one service and its callers. */
final class FleetSimulation implements SimulatedNetwork {
  private static final long SAME_DOMAIN_LATENCY_MICROS = 250;
  private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
  // Time after which an ingress finds that a connection without incoming data is lost.
  private static final long PEER_LOSS_DETECTION_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long DIRECTORY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final double IDEMPOTENT_FRACTION = 0.85;
  // The fraction of all requests that each large customer sends.
  private static final double LARGE_CUSTOMER_FRACTION = 0.3;
  private static final int LARGE_CUSTOMER_COUNT = 2;
  private static final int NODES_PER_SMALL_CUSTOMER = 3;

  private final Deployment deployment;
  private final ServiceId service;
  private final SimulationScheduler scheduler = new SimulationScheduler();
  private final Random random;
  private final double requestsPerSecond;
  private final Vector<Endpoint> endpoints;
  private final Vector<SimulatedNode> nodes;
  private final Map<BackendServerId, SimulatedServer> servers;
  private final RequestHead requestTemplate;
  private Option<Endpoint> cutOffHost = Option.none();
  private RunStatistics statistics;

  FleetSimulation(
      Deployment deployment,
      Deployment.ServiceSize serviceSize,
      Router.Variant routerVariant,
      double utilisation,
      long seed) {
    this.deployment = deployment;
    this.service = serviceSize.service();
    this.random = new Random(seed);
    this.statistics = new RunStatistics(deployment.customerCount());
    this.requestsPerSecond =
        utilisation
            * serviceSize.serverCount()
            * deployment.slotsPerServer()
            * 1e6
            / ServiceTimes.MEAN_MICROS;
    this.endpoints = Vector.range(0, serviceSize.serverCount()).map(this::newEndpoint);
    this.servers =
        endpoints.toMap(
            Endpoint::server,
            endpoint ->
                new SimulatedServer(scheduler, new Random(random.nextLong()), endpoint.slots()));
    this.nodes =
        Vector.range(0, deployment.nodeCount())
            .map(
                index ->
                    new SimulatedNode(
                        index,
                        scheduler,
                        new Random(random.nextLong()),
                        routerVariant.factory().apply(deployment.domainOf(index)),
                        this,
                        statistics));
    this.requestTemplate = newRequestTemplate();
    publishEndpoints(endpoints);
    scheduler.schedule(0, this::scheduleNextArrival);
  }

  private Endpoint newEndpoint(int index) {
    return new Endpoint(
        new BackendServerId(service.value() + "-" + index),
        service,
        new NodeId(String.valueOf(index)),
        deployment.domainOf(index),
        deployment.slotsPerServer());
  }

  private RequestHead newRequestTemplate() {
    return new RequestHead(
        new RequestId("measured"),
        1,
        Option.some(new CustomerId("measured")),
        service,
        "GET",
        "/",
        Vector.empty(),
        true,
        Option.none(),
        REQUEST_TIMEOUT_MILLIS,
        RequestHead.NO_BODY);
  }

  Vector<Endpoint> endpoints() {
    return endpoints;
  }

  long nowNanos() {
    return scheduler.nowNanos();
  }

  /** Advances the simulation and returns the statistics of that period. */
  RunStatistics run(long seconds) {
    RunStatistics newStatistics = new RunStatistics(deployment.customerCount());
    statistics = newStatistics;
    nodes.forEach(node -> node.setStatistics(newStatistics));
    scheduler.runUntil(scheduler.nowNanos() + TimeUnit.SECONDS.toNanos(seconds));
    return newStatistics;
  }

  void injectFault(Endpoint endpoint, ServerFault fault) {
    servers.get(endpoint.server()).get().setFault(fault);
  }

  /** Drops the responses and health reports of a host to nodes of other failure domains. */
  void cutOff(Option<Endpoint> host) {
    cutOffHost = host;
  }

  boolean isCutOff(SimulatedNode ingress, Endpoint endpoint) {
    return cutOffHost.contains(endpoint)
        && !deployment.domainOf(ingress.index()).equals(endpoint.domain());
  }

  boolean isCutOffFromAnyNode(Endpoint endpoint) {
    return cutOffHost.contains(endpoint);
  }

  boolean isCutOff(int nodeIndex, Endpoint endpoint) {
    return isCutOff(nodes.get(nodeIndex), endpoint);
  }

  /**
   * Takes a failure domain out of service or back. Its hosts apply the change at once; the
   * endpoints that the nodes see follow with the delay of the directory.
   */
  void setInService(String domain, boolean inService) {
    endpoints
        .filter(endpoint -> endpoint.domain().value().equals(domain))
        .forEach(endpoint -> servers.get(endpoint.server()).get().setInService(inService));
    Vector<Endpoint> published =
        inService
            ? endpoints
            : endpoints.reject(endpoint -> endpoint.domain().value().equals(domain));
    scheduler.schedule(DIRECTORY_DELAY_NANOS, () -> publishEndpoints(published));
  }

  private void publishEndpoints(Vector<Endpoint> published) {
    nodes.forEach(
        node ->
            scheduler.schedule(
                (long) (random.nextDouble() * DIRECTORY_DELAY_NANOS),
                () ->
                    node.onEvent(
                        new RoutingEvent.EndpointsChanged(
                            service, published, scheduler.nowNanos()))));
  }

  private void scheduleNextArrival() {
    long gapNanos = (long) (-Math.log(1 - random.nextDouble()) * 1e9 / requestsPerSecond);
    scheduler.schedule(
        gapNanos,
        () -> {
          startRequest();
          scheduleNextArrival();
        });
  }

  private void startRequest() {
    int customer = chooseCustomer();
    long nowNanos = scheduler.nowNanos();
    long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(REQUEST_TIMEOUT_MILLIS);
    RequestHead head =
        random.nextDouble() < IDEMPOTENT_FRACTION
            ? requestTemplate
            : toNonIdempotent(requestTemplate);
    nodes
        .get(chooseIngress(customer))
        .onRequest(new SimulatedNode.Request(customer, nowNanos, deadlineNanos), head);
  }

  private static RequestHead toNonIdempotent(RequestHead head) {
    return new RequestHead(
        head.requestId(),
        head.attempt(),
        head.customer(),
        head.service(),
        "POST",
        head.uri(),
        head.headers(),
        false,
        head.idempotencyKey(),
        head.timeoutMillis(),
        head.bodyBytes());
  }

  private int chooseCustomer() {
    double randomFraction = random.nextDouble();
    if (randomFraction < LARGE_CUSTOMER_COUNT * LARGE_CUSTOMER_FRACTION) {
      return (int) (randomFraction / LARGE_CUSTOMER_FRACTION);
    }
    return LARGE_CUSTOMER_COUNT + random.nextInt(deployment.customerCount() - LARGE_CUSTOMER_COUNT);
  }

  /** Chooses any node for a large customer, and one of a few fixed nodes for a small one. */
  private int chooseIngress(int customer) {
    if (customer < LARGE_CUSTOMER_COUNT) {
      return random.nextInt(nodes.size());
    }
    int firstNode = customer * NODES_PER_SMALL_CUSTOMER;
    return (firstNode + random.nextInt(NODES_PER_SMALL_CUSTOMER)) % nodes.size();
  }

  private SimulatedNode node(NodeId id) {
    return nodes.get(Integer.parseInt(id.value()));
  }

  @Override
  public void send(
      SimulatedNode ingress, Endpoint endpoint, RequestHead head, Reply<AttemptResult> reply) {
    SimulatedNode host = node(endpoint.host());
    long oneWayNanos = oneWayNanos(ingress.index(), host.index());
    Reply<AttemptResult> resultReply =
        result -> deliverResult(ingress, endpoint, oneWayNanos, result, reply);
    scheduler.schedule(oneWayNanos, () -> serve(ingress, host, endpoint, head, resultReply));
  }

  private void serve(
      SimulatedNode ingress,
      SimulatedNode host,
      Endpoint endpoint,
      RequestHead head,
      Reply<AttemptResult> resultReply) {
    host.onHostedRequestStarted(endpoint.server(), head, ingress);
    servers
        .get(endpoint.server())
        .get()
        .serve(head, result -> host.onHostedRequestEnded(endpoint.server(), result, resultReply));
  }

  @Override
  public void sendHostReport(SimulatedNode host, RoutingEffect.NotifyIngresses notification) {
    for (NodeId id : notification.nodes()) {
      SimulatedNode ingress = node(id);
      boolean lost =
          cutOffHost.exists(cutOff -> node(cutOff.host()) == host && isCutOff(ingress, cutOff));
      if (!lost) {
        scheduler.schedule(
            oneWayNanos(host.index(), ingress.index()),
            () -> deliverHostReport(ingress, host, notification));
      }
    }
  }

  private void deliverHostReport(
      SimulatedNode ingress, SimulatedNode host, RoutingEffect.NotifyIngresses notification) {
    NodeId hostId = new NodeId(String.valueOf(host.index()));
    ingress.onEvent(
        new RoutingEvent.HostReported(
            notification.server(),
            notification.service(),
            hostId,
            notification.report(),
            scheduler.nowNanos()));
  }

  private void deliverResult(
      SimulatedNode ingress,
      Endpoint endpoint,
      long oneWayNanos,
      AttemptResult result,
      Reply<AttemptResult> reply) {
    if (isCutOff(ingress, endpoint)) {
      scheduler.schedule(
          PEER_LOSS_DETECTION_NANOS,
          () -> reply.send(AttemptResult.ofFailure(ResultCode.PEER_LOST)));
      return;
    }
    scheduler.schedule(oneWayNanos, () -> reply.send(result));
  }

  private long oneWayNanos(int from, int to) {
    if (from == to) {
      return 0;
    }
    boolean sameDomain = deployment.domainOf(from).equals(deployment.domainOf(to));
    long micros = sameDomain ? SAME_DOMAIN_LATENCY_MICROS : deployment.crossDomainLatencyMicros();
    return TimeUnit.MICROSECONDS.toNanos(micros);
  }
}
