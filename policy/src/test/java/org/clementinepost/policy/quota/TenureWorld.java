package org.clementinepost.policy.quota;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.peer.QuotaMessage;
import org.clementinepost.kernel.Step;

/**
 * Nodes that compete for one partition through a table that fails and messages that get lost.
 *
 * <p>What each node takes for the fleet is drawn at random, so that nothing rests on membership.
 */
final class TenureWorld {
  static final int PARTITION = 7;
  private static final long TICK_NANOS = millis(100);
  private static final long PROBE_NANOS = millis(25);

  /** The faults of one run, each as a chance for each message, each tick or each second. */
  record Faults(
      double loss, double tableLoss, double outage, double pause, double crash, double wrongView) {
    static Faults none() {
      return new Faults(0, 0, 0, 0, 0, 0);
    }
  }

  /** A node that could grant tokens at a time. */
  record Grantable(int node, long epoch, long atNanos) {}

  private record Due(long atNanos, long order, int node, long life, Runnable action) {}

  private final SplittableRandom random;
  private final Faults faults;
  private final int nodes;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::atNanos).thenComparingLong(Due::order));
  private final Map<NodeTenure.Ref, Versioned<NodeTenure>> nodeItems = new HashMap<>();
  private final Map<Integer, Versioned<PartitionTenure>> partitionItems = new HashMap<>();
  private final TenureState[] states;
  private final long[] lives;
  private final boolean[] down;
  private final long[] pausedUntilNanos;
  private final long[] tableAwayUntilNanos;
  private final List<Grantable> grantable = new ArrayList<>();
  private long nowNanos;
  private long order;

  TenureWorld(long seed, Faults faults, int nodes) {
    this.random = new SplittableRandom(seed);
    this.faults = faults;
    this.nodes = nodes;
    this.states = new TenureState[nodes];
    this.lives = new long[nodes];
    this.down = new boolean[nodes];
    this.pausedUntilNanos = new long[nodes];
    this.tableAwayUntilNanos = new long[nodes];
    for (int node = 0; node < nodes; node++) {
      start(node);
      scheduleTick(node);
    }
    scheduleProbe();
    scheduleFaults();
  }

  static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }

  static NodeId id(int node) {
    return new NodeId("node-" + node);
  }

  private static int index(NodeId node) {
    return Integer.parseInt(node.value().substring("node-".length()));
  }

  private void start(int node) {
    lives[node] += 1_000;
    down[node] = false;
    states[node] = TenureState.starting(lives[node], nowNanos);
    see(node, view(node));
  }

  private Vector<Member> view(int node) {
    boolean wrong = random.nextDouble() < faults.wrongView();
    return Vector.range(0, nodes)
        .filter(other -> other == node || (wrong ? random.nextBoolean() : !down[other]))
        .map(this::member);
  }

  private Member member(int node) {
    return new Member(
        id(node), lives[node], new NetworkAddress("10.0.0.1", node), new FailureDomainId("a"));
  }

  private void see(int node, Vector<Member> members) {
    decide(node, new TenureEvent.Members(members));
  }

  void run(long durationMillis) {
    long endNanos = nowNanos + millis(durationMillis);
    while (due.peek().atNanos() < endNanos) {
      Due next = due.poll();
      nowNanos = next.atNanos();
      boolean paused = next.node() >= 0 && nowNanos < pausedUntilNanos[next.node()];
      if (paused) {
        due.add(
            new Due(
                pausedUntilNanos[next.node()], order++, next.node(), next.life(), next.action()));
        continue;
      }
      boolean current = next.node() < 0 || next.life() == lives[next.node()] && !down[next.node()];
      if (current) {
        next.action().run();
      }
    }
    nowNanos = endNanos;
  }

  private void at(long delayNanos, int node, Runnable action) {
    long life = node < 0 ? 0 : lives[node];
    due.add(new Due(nowNanos + delayNanos, order++, node, life, action));
  }

  private void scheduleTick(int node) {
    at(
        TICK_NANOS,
        -1,
        () -> {
          scheduleTick(node);
          at(0, node, () -> decide(node, new TenureEvent.Tick(nowNanos)));
          at(0, node, () -> decide(node, new TenureEvent.Wanted(PARTITION, nowNanos)));
        });
  }

  private void scheduleProbe() {
    at(
        PROBE_NANOS,
        -1,
        () -> {
          scheduleProbe();
          for (int node = 0; node < nodes; node++) {
            int probed = node;
            at(0, node, () -> probe(probed));
          }
        });
  }

  private void probe(int node) {
    states[node]
        .tenures()
        .at(PARTITION, nowNanos)
        .peek(tenure -> grantable.add(new Grantable(node, tenure.epoch(), nowNanos)));
  }

  private void scheduleFaults() {
    at(
        millis(1_000),
        -1,
        () -> {
          scheduleFaults();
          for (int node = 0; node < nodes; node++) {
            faultsOf(node);
          }
        });
  }

  private void faultsOf(int node) {
    if (down[node]) {
      if (random.nextInt(4) == 0) {
        start(node);
      }
      return;
    }
    see(node, view(node));
    if (random.nextDouble() < faults.outage()) {
      tableAwayUntilNanos[node] = nowNanos + millis(random.nextLong(500, 20_000));
    }
    if (random.nextDouble() < faults.pause()) {
      pausedUntilNanos[node] = nowNanos + millis(random.nextLong(100, 15_000));
    }
    if (random.nextDouble() < faults.crash()) {
      down[node] = true;
    }
  }

  void crash(int node) {
    down[node] = true;
    for (int other = 0; other < nodes; other++) {
      see(other, view(other));
    }
  }

  void stop(int node) {
    decide(node, new TenureEvent.Stopping(nowNanos));
  }

  void tableAway(long durationMillis) {
    for (int node = 0; node < nodes; node++) {
      tableAwayUntilNanos[node] = nowNanos + millis(durationMillis);
    }
  }

  private void decide(int node, TenureEvent event) {
    Step<TenureState, TenureEffect> step = new TenurePolicy(id(node)).decide(states[node], event);
    states[node] = step.state();
    step.effects().forEach(effect -> carryOut(node, effect));
  }

  private void carryOut(int node, TenureEffect effect) {
    if (effect instanceof TenureEffect.ReadNode read) {
      table(
          node,
          () -> Either.right(Option.of(nodeItems.get(read.ref()))),
          result -> new TenureEvent.NodeRead(read.ref(), read.sentNanos(), result, nowNanos));
    }
    if (effect instanceof TenureEffect.WriteNode write) {
      table(
          node,
          () -> put(nodeItems, write.next().ref(), write.next(), write.expectedVersion()),
          result -> new TenureEvent.NodeWritten(write.next(), result, nowNanos));
    }
    if (effect instanceof TenureEffect.DeleteNode delete) {
      table(
          node,
          () -> Either.right(nodeItems.remove(delete.ref()) != null),
          result -> new TenureEvent.Tick(nowNanos));
    }
    if (effect instanceof TenureEffect.ReadPartition read) {
      table(
          node,
          () -> Either.right(Option.of(partitionItems.get(read.partition()))),
          result -> new TenureEvent.PartitionRead(read.partition(), result, nowNanos));
    }
    if (effect instanceof TenureEffect.WritePartition write) {
      table(
          node,
          () -> put(partitionItems, PARTITION, write.next(), write.expectedVersion()),
          result -> new TenureEvent.PartitionWritten(write.next(), result, nowNanos));
    }
    if (effect instanceof TenureEffect.Send send) {
      transmit(node, index(send.to()), send.message());
    }
  }

  private static <K, V> Either<Failure, Versioned<V>> put(
      Map<K, Versioned<V>> items, K key, V next, Option<Long> expectedVersion) {
    Option<Long> version = Option.of(items.get(key)).map(Versioned::version);
    if (!version.equals(expectedVersion)) {
      return Either.left(Failure.of(ResultCode.PLATFORM_CONDITION_FAILED));
    }
    Versioned<V> written = new Versioned<>(next, version.getOrElse(0L) + 1);
    items.put(key, written);
    return Either.right(written);
  }

  /** Carries out an operation of the table some time later; its answer may be lost on the way. */
  private <R> void table(
      int node,
      java.util.function.Supplier<Either<Failure, R>> operation,
      Function<Either<Failure, R>, TenureEvent> toEvent) {
    at(
        latencyNanos(),
        -1,
        () -> {
          boolean away = nowNanos < tableAwayUntilNanos[node];
          boolean takesEffect = !away || random.nextInt(10) == 0;
          Either<Failure, R> result = takesEffect ? operation.get() : unavailable();
          boolean lost = away || random.nextDouble() < faults.tableLoss();
          Either<Failure, R> answer = lost ? unavailable() : result;
          at(latencyNanos(), node, () -> decide(node, toEvent.apply(answer)));
        });
  }

  private static <R> Either<Failure, R> unavailable() {
    return Either.left(Failure.of(ResultCode.PLATFORM_UNAVAILABLE));
  }

  private void transmit(int from, int to, QuotaMessage message) {
    if (random.nextDouble() >= faults.loss() && !down[to]) {
      at(
          latencyNanos(),
          to,
          () -> decide(to, new TenureEvent.FromPeer(id(from), message, nowNanos)));
    }
  }

  private long latencyNanos() {
    boolean late = faults.loss() > 0 && random.nextInt(20) == 0;
    return millis(late ? random.nextLong(50, 8_000) : random.nextLong(1, 20));
  }

  Vector<Grantable> grantable() {
    return Vector.ofAll(grantable);
  }

  /** The node that could grant last, and when. */
  Grantable last() {
    return grantable.get(grantable.size() - 1);
  }

  long nowNanos() {
    return nowNanos;
  }
}
