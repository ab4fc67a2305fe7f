package org.clementinepost.policy.floor;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.Handling;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.Insistence;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.host.Admission;
import org.clementinepost.policy.host.Announcement;
import org.clementinepost.policy.host.AnnouncementOrder;
import org.clementinepost.policy.host.HostEffect;
import org.clementinepost.policy.host.HostEvent;
import org.clementinepost.policy.host.HostPolicy;
import org.clementinepost.policy.host.HostState;
import org.clementinepost.policy.routing.Placement;
import org.clementinepost.policy.routing.RetryPolicy;
import org.clementinepost.policy.routing.RoutingEffect;
import org.clementinepost.policy.routing.RoutingEvent;
import org.clementinepost.policy.routing.RoutingPolicy;
import org.clementinepost.policy.routing.RoutingState;

/**
 * Runs the decisions of many ingress nodes and of the hosts of one service under virtual time.
 *
 * <p>Each backend server fails most of its requests for a part of each period, at a phase of its
 * own, and is well for the rest.
 */
final class ServiceRun {
  private static final ServiceId SERVICE = new ServiceId("office");
  private static final String SERVER = "server-";
  private static final long HOP_MILLIS = 2;
  private static final long TICK_MILLIS = 50;
  private static final long ERROR_MILLIS = 2;
  private static final long ANNOUNCE_MILLIS = 1_500;
  private static final int SLOTS = 10;
  private static final int FLOOR_PERCENT = 70;
  private static final long DEADLINE_MILLIS = 10_000;
  private static final long TARGET_MILLIS = 2_500;
  private static final int MAX_ATTEMPTS = 3;
  private static final int DOMAINS = 3;
  private static final double WORK_SPREAD = 0.5;
  private static final int OK = 200;
  private static final int ERROR = 500;

  /** How long a server that failed by itself does not count as sound. */
  private static final long SOUND_AFTER_MILLIS = 2_000;

  /**
   * The service and its requests.
   *
   * @param servers its backend servers
   * @param ingresses the ingress nodes
   * @param oncePerSecond requests that may run once only, a second
   * @param repeatablePerSecond requests that may run more than once, a second
   * @param onceWorkMillis the mean time that one that may run once only takes
   * @param repeatableWorkMillis the mean time that one that may run more than once takes
   * @param failingShare the part of each period for which a server fails
   * @param periodMillis the length of a period
   * @param failing the part of its requests that a failing server fails
   */
  record Profile(
      int servers,
      int ingresses,
      double oncePerSecond,
      double repeatablePerSecond,
      double onceWorkMillis,
      double repeatableWorkMillis,
      double failingShare,
      long periodMillis,
      double failing) {}

  private record Due(long millis, long number, Runnable action) {}

  private record Arrival(long millis, int server) {}

  private final Profile profile;
  private final Random random;
  private final List<HostState> hosts = new ArrayList<>();
  private final List<RoutingState> ingresses = new ArrayList<>();
  private final List<HostPolicy> hostPolicies = new ArrayList<>();
  private final List<RoutingPolicy> routingPolicies = new ArrayList<>();
  private final long[] phaseMillis;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Arrival> failures = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::millis).thenComparingLong(Due::number));
  private long nowMillis = 100_000;
  private final long startMillis = nowMillis;
  private long numbers;

  ServiceRun(Profile profile, long seed) {
    this.profile = profile;
    this.random = new Random(seed);
    this.phaseMillis = random.longs(profile.servers(), 0, profile.periodMillis()).toArray();
    for (int i = 0; i < DOMAINS; i++) {
      hostPolicies.add(new HostPolicy(domain(i)));
      routingPolicies.add(RoutingPolicy.builder().domain(domain(i)).build());
    }
    Service service =
        new Service(SERVICE, FLOOR_PERCENT, 1, DEADLINE_MILLIS, 0, 1, 0, "/health", 1_000);
    Vector<Endpoint> endpoints = Vector.range(0, profile.servers()).map(ServiceRun::endpoint);
    for (int i = 0; i < profile.servers(); i++) {
      hosts.add(HostState.empty());
      host(i, new HostEvent.Configured(Snapshot.empty().with(service)));
    }
    announce(1);
    for (int i = 0; i < profile.ingresses(); i++) {
      ingresses.add(RoutingState.empty());
      ingress(i, new RoutingEvent.Configured(HashMap.of(SERVICE, service), nowNanos()));
      ingress(i, new RoutingEvent.EndpointsChanged(SERVICE, endpoints, nowNanos()));
    }
    tick();
    arrive(profile.oncePerSecond(), false);
    arrive(profile.repeatablePerSecond(), true);
  }

  private static FailureDomainId domain(int number) {
    return new FailureDomainId("domain-" + number % DOMAINS);
  }

  private static BackendServerId server(int number) {
    return new BackendServerId(SERVER + number);
  }

  private static Endpoint endpoint(int number) {
    return new Endpoint(
        server(number), SERVICE, new NodeId("node-" + number), domain(number), SLOTS);
  }

  private void announce(long number) {
    for (int i = 0; i < hosts.size(); i++) {
      host(i, new HostEvent.Announced(announcement(i, number), nowNanos()));
    }
    after(ANNOUNCE_MILLIS, () -> announce(number + 1));
  }

  private static Announcement announcement(int number, long order) {
    return new Announcement(
        server(number),
        SERVICE,
        new NetworkAddress("10.0.0.1", 1_000 + number),
        SLOTS,
        1_000,
        Announcement.State.SERVING,
        0,
        0,
        0,
        Option.some(new AnnouncementOrder(1, order)));
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  private void after(long millis, Runnable action) {
    due.add(new Due(nowMillis + millis, numbers++, action));
  }

  /** Lets time pass. */
  void run(long millis) {
    long untilMillis = nowMillis + millis;
    while (due.peek().millis() <= untilMillis) {
      Due next = due.poll();
      nowMillis = next.millis();
      next.action().run();
    }
    nowMillis = untilMillis;
  }

  private void tick() {
    for (int i = 0; i < hosts.size(); i++) {
      host(i, new HostEvent.Tick(nowNanos()));
    }
    for (int i = 0; i < ingresses.size(); i++) {
      ingress(i, new RoutingEvent.Tick(nowNanos()));
    }
    after(TICK_MILLIS, this::tick);
  }

  private void host(int number, HostEvent event) {
    Step<HostState, HostEffect> step =
        hostPolicies.get(number % DOMAINS).decide(hosts.get(number), event);
    hosts.set(number, step.state());
    for (HostEffect effect : step.effects()) {
      if (effect instanceof HostEffect.AdmissionDecided admitted) {
        admitted.reply().send(admitted.result());
      }
    }
  }

  private void ingress(int number, RoutingEvent event) {
    Step<RoutingState, RoutingEffect> step =
        routingPolicies.get(number % DOMAINS).decide(ingresses.get(number), event);
    ingresses.set(number, step.state());
    for (RoutingEffect effect : step.effects()) {
      if (effect instanceof RoutingEffect.Placed placed) {
        placed.reply().send(placed.answer());
      }
    }
  }

  private void arrive(double perSecond, boolean idempotent) {
    if (perSecond == 0) {
      return;
    }
    double waitMillis = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    after(
        Math.round(waitMillis),
        () -> {
          new Call(random.nextInt(profile.ingresses()), idempotent).start();
          arrive(perSecond, idempotent);
        });
  }

  private boolean isFailing(int server) {
    double failingMillis = profile.failingShare() * profile.periodMillis();
    return (nowMillis + phaseMillis[server]) % profile.periodMillis() < failingMillis;
  }

  private long workMillis(boolean idempotent) {
    double mean = idempotent ? profile.repeatableWorkMillis() : profile.onceWorkMillis();
    double spread = Math.exp(WORK_SPREAD * random.nextGaussian() - WORK_SPREAD * WORK_SPREAD / 2);
    return Math.max(1, Math.round(mean * spread));
  }

  /** One caller's request on its way. */
  private final class Call {
    private final int ingress;
    private final long sentMillis = nowMillis;
    private final long deadlineMillis = nowMillis + DEADLINE_MILLIS;
    private boolean lost;
    private RequestHead head;
    private Set<BackendServerId> tried = HashSet.empty();

    Call(int ingress, boolean idempotent) {
      this.ingress = ingress;
      this.head =
          new RequestHead(
              new RequestId("request-" + numbers),
              1,
              Option.none(),
              SERVICE,
              idempotent ? "GET" : "POST",
              "/",
              Vector.empty(),
              idempotent,
              Option.none(),
              DEADLINE_MILLIS,
              idempotent ? RequestHead.NO_BODY : 100,
              new Handling(1, TARGET_MILLIS, MAX_ATTEMPTS, Option.none(), Insistence.FREE_SLOT));
    }

    boolean isWithin(long from, long until) {
      return sentMillis >= from && sentMillis < until;
    }

    boolean isLost() {
      return lost;
    }

    void start() {
      calls.add(this);
      place(head, nobody -> lost = true);
    }

    private void place(RequestHead next, Consumer<Failure> nobody) {
      ingress(
          ingress,
          new RoutingEvent.Place(
              next,
              tried,
              random.nextLong(),
              nowNanos(),
              placed -> after(0, () -> placed.peek(p -> ask(next, p)).peekLeft(nobody::accept))));
    }

    private void ask(RequestHead next, Placement placement) {
      head = next;
      int server =
          Integer.parseInt(placement.endpoint().server().value().substring(SERVER.length()));
      long sentMillis = nowMillis;
      after(
          HOP_MILLIS,
          () ->
              host(
                  server,
                  new HostEvent.Admit(
                      placement.endpoint().server(),
                      head,
                      nowNanos(),
                      answer -> after(0, () -> admitted(server, placement, answer, sentMillis)))));
    }

    private void admitted(
        int server, Placement placement, Either<Failure, Admission> answer, long sentMillis) {
      if (answer.isLeft()) {
        after(
            HOP_MILLIS,
            () -> told(placement, Either.left(answer.getLeft()), 0, nowMillis - sentMillis));
        return;
      }
      arrivals.add(new Arrival(nowMillis, server));
      boolean fails = isFailing(server) && random.nextDouble() < profile.failing();
      long workMillis = fails ? ERROR_MILLIS : workMillis(head.idempotent());
      after(
          workMillis,
          () -> {
            int status = fails ? ERROR : OK;
            if (fails) {
              failures.add(new Arrival(nowMillis, server));
            }
            host(
                server,
                new HostEvent.RequestEnded(
                    answer.get().id(),
                    Option.none(),
                    status,
                    TimeUnit.MILLISECONDS.toMicros(workMillis),
                    nowNanos()));
            after(
                HOP_MILLIS,
                () -> told(placement, Either.right(status), workMillis, nowMillis - sentMillis));
          });
    }

    private void told(
        Placement placement, Either<Failure, Integer> answer, long workMillis, long totalMillis) {
      ingress(
          ingress,
          new RoutingEvent.Ended(
              placement.endpoint(),
              answer.isLeft() ? Option.some(answer.getLeft()) : Option.none(),
              answer.getOrElse(0),
              TimeUnit.MILLISECONDS.toMicros(workMillis),
              TimeUnit.MILLISECONDS.toMicros(totalMillis),
              HostReport.HEALTHY,
              nowNanos()));
      tried = tried.add(placement.endpoint().server());
      long leftMillis = deadlineMillis - nowMillis;
      boolean follows =
          answer.fold(
              failure -> RetryPolicy.mayTryAgain(head, tried.size(), failure, false, leftMillis),
              status ->
                  RetryPolicy.mayReplaceAnswer(head, tried.size(), status, false, leftMillis));
      if (!follows) {
        lastResort(answer, leftMillis);
        return;
      }
      boolean reached = answer.fold(RetryPolicy::reachedServer, status -> true);
      RequestHead next =
          head.nextAttempt(head.attempt() + (reached ? 1 : 0), leftMillis)
              .with(head.handling().with(RetryPolicy.insistence(tried.size())));
      place(next, nobody -> lastResort(answer, leftMillis));
    }

    private void lastResort(Either<Failure, Integer> answer, long leftMillis) {
      boolean refused =
          answer.isLeft()
              && !RetryPolicy.reachedServer(answer.getLeft())
              && head.handling().insistence() != Insistence.ANY_SERVER;
      if (!refused || leftMillis <= 0) {
        lost = !answer.contains(OK);
        return;
      }
      tried = HashSet.empty();
      place(
          head.nextAttempt(head.attempt(), leftMillis)
              .with(head.handling().with(Insistence.ANY_SERVER)),
          nobody -> lost = true);
    }
  }

  /**
   * The least part of the sound servers that got requests, over all windows of a length.
   *
   * <p>Left out are those in which half of the requests or more were not served.
   */
  double leastUse(long windowMillis, long stepMillis) {
    double least = 1;
    for (long from = startMillis + SOUND_AFTER_MILLIS + windowMillis;
        from + windowMillis <= nowMillis;
        from += stepMillis) {
      least = Math.min(least, use(from, windowMillis));
    }
    return least;
  }

  private double use(long from, long windowMillis) {
    Set<Integer> failed = servers(failures, from - SOUND_AFTER_MILLIS, from + windowMillis);
    Set<Integer> used = servers(arrivals, from, from + windowMillis).removeAll(failed);
    int sound = profile.servers() - failed.size();
    return sound == 0 || mostlyUnserved(from, from + windowMillis)
        ? 1
        : (double) used.size() / sound;
  }

  private boolean mostlyUnserved(long from, long until) {
    long sent = calls.stream().filter(call -> call.isWithin(from, until)).count();
    long lost = calls.stream().filter(call -> call.isWithin(from, until) && call.isLost()).count();
    return 2 * lost >= sent;
  }

  private static Set<Integer> servers(List<Arrival> arrivals, long from, long until) {
    return HashSet.ofAll(
        arrivals.stream()
            .filter(arrival -> arrival.millis() > from && arrival.millis() <= until)
            .map(Arrival::server));
  }
}
