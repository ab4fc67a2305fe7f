package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.peer.QuotaMessage;
import org.clementinepost.kernel.Step;

/**
 * Holders and homes over a network that loses, doubles and delays, under a time of its own.
 *
 * <p>One home at a time has the tenure; a home that is ended may go on believing in its own until
 * its lease has passed, and a paused one finds its messages waiting when it resumes.
 */
final class EscrowWorld {
  private static final CustomerId CUSTOMER = new CustomerId("acme");
  private static final long TENURE_NANOS = millis(800);
  private static final long TICK_NANOS = millis(100);

  /** The faults of one run, each as a chance for each message or each tick. */
  record Faults(double loss, double doubling, double delay, double pause, double crash) {}

  private record Due(long atNanos, long order, int node, Runnable action) {}

  private final SplittableRandom random;
  private final Faults faults;
  private final Customer customer;
  private final int holders;
  private final Map<CustomerId, Customer> customers;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::atNanos).thenComparingLong(Due::order));
  private final HomePolicy homePolicy = new HomePolicy();
  private final HolderState[] holderStates;
  private final HomeState[] homeStates;
  private final long[] incarnations;
  private final long[] pausedUntilNanos;
  private final List<Long> spentNanos = new ArrayList<>();
  private long nowNanos;
  private long order;
  private long epoch = 1;
  private int home;
  private Tenures[] tenures;
  private int refused;

  EscrowWorld(long seed, Faults faults, Customer limits, int holders) {
    this.random = new SplittableRandom(seed);
    this.faults = faults;
    this.customer = new Customer(CUSTOMER, limits.ratePerSecond(), limits.burstRequests(), 1);
    this.holders = holders;
    this.customers = HashMap.of(CUSTOMER, customer);
    this.holderStates = new HolderState[holders];
    this.homeStates = new HomeState[holders];
    this.incarnations = new long[holders];
    this.pausedUntilNanos = new long[holders];
    this.tenures = new Tenures[holders];
    for (int node = 0; node < holders; node++) {
      tenures[node] = Tenures.none();
      restart(node);
    }
    tenures[0] = tenure(new Tenures.Tenure(epoch, 0, true), TENURE_NANOS);
  }

  private static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }

  private static NodeId id(int node) {
    return new NodeId("node-" + node);
  }

  private static Tenures tenure(Tenures.Tenure owned, long validUntilNanos) {
    return new Tenures(HashMap.of(Partitions.of(CUSTOMER), owned), validUntilNanos);
  }

  /** Runs requests at a rate for a while. */
  void run(long durationMillis, double requestsPerSecond) {
    for (int node = 0; node < holders; node++) {
      scheduleTick(node, TICK_NANOS);
    }
    scheduleTenure(TENURE_NANOS / 4);
    scheduleRequest(requestsPerSecond);
    while (!due.isEmpty() && due.peek().atNanos() < millis(durationMillis)) {
      Due next = due.poll();
      nowNanos = next.atNanos();
      if (next.node() >= 0 && nowNanos < pausedUntilNanos[next.node()]) {
        due.add(new Due(pausedUntilNanos[next.node()], order++, next.node(), next.action()));
        continue;
      }
      next.action().run();
    }
  }

  private void at(long delayNanos, int node, Runnable action) {
    due.add(new Due(nowNanos + delayNanos, order++, node, action));
  }

  private void scheduleTick(int node, long delayNanos) {
    at(
        delayNanos,
        node,
        () -> {
          scheduleTick(node, TICK_NANOS);
          tick(node);
        });
  }

  private void tick(int node) {
    if (random.nextDouble() < faults.crash()) {
      restart(node);
      return;
    }
    if (random.nextDouble() < faults.pause()) {
      pausedUntilNanos[node] = nowNanos + millis(random.nextLong(50, 4_000));
      return;
    }
    homeStates[node] =
        homePolicy
            .decide(homeStates[node], new HomeEvent.Tick(tenures[node], customers, nowNanos))
            .state();
    holder(node, new HolderEvent.Tick(nowNanos));
  }

  private void restart(int node) {
    incarnations[node]++;
    tenures[node] = Tenures.none();
    homeStates[node] = HomeState.empty();
    Vector<NodeId> members = Vector.range(0, holders).map(EscrowWorld::id);
    holderStates[node] =
        HolderState.empty()
            .withMembers(members)
            .withHome(Partitions.of(CUSTOMER), io.vavr.control.Option.some(id(home)));
  }

  /** Renews the home's tenure, or ends it and gives it to another once it has surely lapsed. */
  private void scheduleTenure(long delayNanos) {
    at(
        delayNanos,
        -1,
        () -> {
          boolean running = !tenures[home].owned().isEmpty();
          if (running && random.nextDouble() > faults.crash() * 4) {
            long sentNanos = nowNanos;
            int renewed = home;
            long term = epoch;
            at(
                millis(random.nextLong(1, 50)),
                home,
                () -> renew(renewed, term, sentNanos + TENURE_NANOS));
            scheduleTenure(TENURE_NANOS / 4);
            return;
          }
          long endNanos = TENURE_NANOS + GrantLease.LEASE_NANOS + GrantLease.MARGIN_NANOS;
          at(endNanos, -1, this::takeOver);
        });
  }

  private void renew(int node, long term, long untilNanos) {
    boolean same = tenures[node].owned().values().exists(owned -> owned.epoch() == term);
    if (same) {
      tenures[node] =
          new Tenures(tenures[node].owned(), Math.max(tenures[node].validUntilNanos(), untilNanos));
    }
  }

  private void takeOver() {
    epoch++;
    home = random.nextInt(holders);
    homeStates[home] = HomeState.empty();
    tenures[home] = tenure(new Tenures.Tenure(epoch, nowNanos, false), nowNanos + TENURE_NANOS);
    for (int node = 0; node < holders; node++) {
      holderStates[node] =
          holderStates[node].withHome(
              Partitions.of(CUSTOMER), io.vavr.control.Option.some(id(home)));
    }
    scheduleTenure(TENURE_NANOS / 4);
  }

  private void scheduleRequest(double requestsPerSecond) {
    long gapNanos = (long) (-Math.log(1 - random.nextDouble()) * 1e9 / requestsPerSecond);
    int node = random.nextInt(holders);
    at(
        gapNanos,
        -1,
        () -> {
          scheduleRequest(requestsPerSecond);
          at(0, node, () -> holder(node, new HolderEvent.Take(CUSTOMER, nowNanos, r -> {})));
        });
  }

  private void holder(int node, HolderEvent event) {
    Step<HolderState, HolderEffect> step =
        new HolderPolicy(incarnations[node]).decide(holderStates[node], event);
    holderStates[node] = step.state();
    step.effects().forEach(effect -> carryOut(node, effect));
  }

  private void carryOut(int node, HolderEffect effect) {
    if (effect instanceof HolderEffect.Taken taken) {
      taken.result().peek(permit -> spentNanos.add(nowNanos)).peekLeft(failure -> refused++);
    }
    if (effect instanceof HolderEffect.FlushSoon) {
      at(millis(1), node, () -> holder(node, new HolderEvent.Flush(nowNanos)));
    }
    if (effect instanceof HolderEffect.Send send) {
      int to = Integer.parseInt(send.to().value().substring("node-".length()));
      QuotaMessage.Asks asks = send.asks();
      transmit(to, () -> asked(to, node, asks));
    }
  }

  private void asked(int homeNode, int from, QuotaMessage.Asks asks) {
    Step<HomeState, HomeEffect> step =
        homePolicy.decide(
            homeStates[homeNode],
            new HomeEvent.Asked(
                id(from), asks.incarnation(), asks.asks(), tenures[homeNode], customers, nowNanos));
    homeStates[homeNode] = step.state();
    for (HomeEffect effect : step.effects()) {
      QuotaMessage answer = ((HomeEffect.Answer) effect).message();
      transmit(from, () -> answered(from, id(homeNode), answer));
    }
  }

  private void answered(int node, NodeId from, QuotaMessage answer) {
    if (answer instanceof QuotaMessage.Grants grants) {
      holder(node, new HolderEvent.Granted(grants, nowNanos));
    }
    if (answer instanceof QuotaMessage.NotHome notHome) {
      QuotaMessage.NotHome known =
          new QuotaMessage.NotHome(
              notHome.incarnation(), notHome.sequences(), io.vavr.control.Option.some(id(home)));
      holder(node, new HolderEvent.NotHome(from, known, nowNanos));
    }
  }

  private void transmit(int to, Runnable message) {
    if (random.nextDouble() >= faults.loss()) {
      at(latencyNanos(), to, message);
    }
    if (random.nextDouble() < faults.doubling()) {
      at(latencyNanos(), to, message);
    }
  }

  private long latencyNanos() {
    boolean late = random.nextDouble() < faults.delay();
    return millis(late ? random.nextLong(20, 3_000) : random.nextLong(1, 4));
  }

  int spent() {
    return spentNanos.size();
  }

  int refused() {
    return refused;
  }

  /** How far the worst interval went beyond the rate; it must not exceed the burst. */
  double worstBeyondRate() {
    double lowest = Double.POSITIVE_INFINITY;
    double worst = 0;
    for (int i = 0; i < spentNanos.size(); i++) {
      double line = customer.ratePerSecond() * spentNanos.get(i) / 1e9;
      lowest = Math.min(lowest, i - line);
      worst = Math.max(worst, i + 1 - line - lowest);
    }
    return worst;
  }
}
