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

/** All nodes of a deployment, the backend servers of one service, and its callers. */
final class Fleet implements FakeNetwork {
  private static final long SAME_DOMAIN_MICROS = 250;
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final long LINK_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long DIRECTORY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final double IDEMPOTENT_FRACTION = 0.85;
  private static final double LARGE_FRACTION = 0.3;
  private static final int LARGE_CUSTOMERS = 2;
  private static final int NODES_OF_SMALL_CUSTOMER = 3;

  private final Deployment deployment;
  private final ServiceId service;
  private final VirtualLoop loop = new VirtualLoop();
  private final Random random;
  private final double requestsPerSecond;
  private final Vector<Endpoint> endpoints;
  private final Vector<FakeNode> nodes;
  private final Map<BackendServerId, FakeServer> servers;
  private final RequestHead template;
  private Option<Endpoint> cutFrom = Option.none();
  private Tally tally;

  Fleet(
      Deployment deployment,
      Deployment.ServiceSize size,
      Router.Kind kind,
      double utilisation,
      long seed) {
    this.deployment = deployment;
    this.service = size.service();
    this.random = new Random(seed);
    this.tally = new Tally(deployment.customers());
    this.requestsPerSecond =
        utilisation * size.servers() * deployment.slots() * 1e6 / ServiceTimes.MEAN_MICROS;
    this.endpoints = Vector.range(0, size.servers()).map(this::endpoint);
    this.servers =
        endpoints.toMap(
            Endpoint::server,
            endpoint -> new FakeServer(loop, new Random(random.nextLong()), endpoint.slots()));
    this.nodes =
        Vector.range(0, deployment.nodes())
            .map(
                index ->
                    new FakeNode(
                        index,
                        loop,
                        new Random(random.nextLong()),
                        kind.factory().apply(deployment.domainOf(index)),
                        this,
                        tally));
    this.template = template();
    announce(endpoints);
    loop.after(0, this::arrivals);
  }

  private Endpoint endpoint(int index) {
    return new Endpoint(
        new BackendServerId(service.value() + "-" + index),
        service,
        new NodeId(String.valueOf(index)),
        deployment.domainOf(index),
        deployment.slots());
  }

  private RequestHead template() {
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
        TIMEOUT_MILLIS,
        RequestHead.NO_BODY);
  }

  Vector<Endpoint> endpoints() {
    return endpoints;
  }

  long nowNanos() {
    return loop.nowNanos();
  }

  int nodeCount() {
    return nodes.size();
  }

  /** Runs on for a while and gives what was counted in it. */
  Tally run(long seconds) {
    Tally counted = new Tally(deployment.customers());
    tally = counted;
    nodes.forEach(node -> node.count(counted));
    loop.runUntil(loop.nowNanos() + TimeUnit.SECONDS.toNanos(seconds));
    return counted;
  }

  void disturb(Endpoint endpoint, Disturbance disturbance) {
    servers.get(endpoint.server()).get().disturb(disturbance);
  }

  /** Loses the answers of a host to nodes of other failure domains. */
  void cut(Option<Endpoint> host) {
    cutFrom = host;
  }

  boolean isCut(FakeNode ingress, Endpoint endpoint) {
    return cutFrom.contains(endpoint)
        && !deployment.domainOf(ingress.index()).equals(endpoint.domain());
  }

  boolean isCut(int node, Endpoint endpoint) {
    return isCut(nodes.get(node), endpoint);
  }

  /** Takes a failure domain out or back; the hosts know first, and the directory follows. */
  void setInService(String domain, boolean inService) {
    endpoints
        .filter(endpoint -> endpoint.domain().value().equals(domain))
        .forEach(endpoint -> servers.get(endpoint.server()).get().setInService(inService));
    Vector<Endpoint> announced =
        inService
            ? endpoints
            : endpoints.reject(endpoint -> endpoint.domain().value().equals(domain));
    loop.after(DIRECTORY_NANOS, () -> announce(announced));
  }

  private void announce(Vector<Endpoint> announced) {
    nodes.forEach(
        node ->
            loop.after(
                (long) (random.nextDouble() * DIRECTORY_NANOS),
                () ->
                    node.decide(
                        new RoutingEvent.EndpointsChanged(service, announced, loop.nowNanos()))));
  }

  private void arrivals() {
    long gapNanos = (long) (-Math.log(1 - random.nextDouble()) * 1e9 / requestsPerSecond);
    loop.after(
        gapNanos,
        () -> {
          arrive();
          arrivals();
        });
  }

  private void arrive() {
    int customer = customer();
    long nowNanos = loop.nowNanos();
    long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    RequestHead head =
        random.nextDouble() < IDEMPOTENT_FRACTION ? template : nonIdempotent(template);
    nodes
        .get(ingressOf(customer))
        .arrive(new FakeNode.Request(customer, nowNanos, deadlineNanos), head);
  }

  private static RequestHead nonIdempotent(RequestHead head) {
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

  private int customer() {
    double draw = random.nextDouble();
    if (draw < LARGE_CUSTOMERS * LARGE_FRACTION) {
      return (int) (draw / LARGE_FRACTION);
    }
    return LARGE_CUSTOMERS + random.nextInt(deployment.customers() - LARGE_CUSTOMERS);
  }

  /** A large customer's callers use every node, a small one's only a few. */
  private int ingressOf(int customer) {
    if (customer < LARGE_CUSTOMERS) {
      return random.nextInt(nodes.size());
    }
    int first = customer * NODES_OF_SMALL_CUSTOMER;
    return (first + random.nextInt(NODES_OF_SMALL_CUSTOMER)) % nodes.size();
  }

  private FakeNode node(NodeId id) {
    return nodes.get(Integer.parseInt(id.value()));
  }

  @Override
  public void send(FakeNode ingress, Endpoint endpoint, RequestHead head, Reply<FakeAnswer> reply) {
    FakeNode host = node(endpoint.host());
    long oneWayNanos = oneWayNanos(ingress.index(), host.index());
    Reply<FakeAnswer> back = answer -> back(ingress, endpoint, oneWayNanos, answer, reply);
    loop.after(oneWayNanos, () -> serve(ingress, host, endpoint, head, back));
  }

  private void serve(
      FakeNode ingress,
      FakeNode host,
      Endpoint endpoint,
      RequestHead head,
      Reply<FakeAnswer> back) {
    host.serving(endpoint.server(), head, ingress);
    servers
        .get(endpoint.server())
        .get()
        .serve(head, answer -> host.served(endpoint.server(), answer, back));
  }

  @Override
  public void tell(FakeNode host, RoutingEffect.NotifyIngresses tell) {
    for (NodeId id : tell.nodes()) {
      FakeNode ingress = node(id);
      boolean lost = cutFrom.exists(cut -> node(cut.host()) == host && isCut(ingress, cut));
      if (!lost) {
        loop.after(oneWayNanos(host.index(), ingress.index()), () -> told(ingress, host, tell));
      }
    }
  }

  private void told(FakeNode ingress, FakeNode host, RoutingEffect.NotifyIngresses tell) {
    NodeId from = new NodeId(String.valueOf(host.index()));
    ingress.decide(
        new RoutingEvent.HostReported(
            tell.server(), tell.service(), from, tell.report(), loop.nowNanos()));
  }

  private void back(
      FakeNode ingress,
      Endpoint endpoint,
      long oneWayNanos,
      FakeAnswer answer,
      Reply<FakeAnswer> reply) {
    if (isCut(ingress, endpoint)) {
      loop.after(LINK_SILENCE_NANOS, () -> reply.send(FakeAnswer.failed(ResultCode.PEER_LOST)));
      return;
    }
    loop.after(oneWayNanos, () -> reply.send(answer));
  }

  private long oneWayNanos(int from, int to) {
    if (from == to) {
      return 0;
    }
    boolean sameDomain = deployment.domainOf(from).equals(deployment.domainOf(to));
    long micros = sameDomain ? SAME_DOMAIN_MICROS : deployment.crossDomainMicros();
    return TimeUnit.MICROSECONDS.toNanos(micros);
  }
}
