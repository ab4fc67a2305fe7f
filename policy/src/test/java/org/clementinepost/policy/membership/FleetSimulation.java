package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;

/**
 * Simulates the membership decisions of several nodes under virtual time, with messages that are
 * delayed, reordered and lost.
 */
final class FleetSimulation {
  private static final long TICK_MILLIS = 200;
  private static final long RESET_DETECTION_MILLIS = 20;
  private static final long SILENCE_DETECTION_MILLIS = 2_250;
  private static final long REDIAL_MILLIS = 1_000;
  private static final long PROBE_MILLIS = 500;
  private static final int MAX_LATENCY_MILLIS = 60;

  private record ScheduledAction(long atMillis, long sequence, Runnable action) {}

  private final MembershipPolicy policy = new MembershipPolicy();
  private final Map<NodeId, MembershipState> nodes = new HashMap<>();
  private final Map<NodeId, Set<NodeId>> establishedLinks = new HashMap<>();
  private final Map<NodeId, Member> registered = new HashMap<>();
  private final Set<Vector<NodeId>> cuts = new HashSet<>();
  private final PriorityQueue<ScheduledAction> scheduled =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMillis)
              .thenComparingLong(ScheduledAction::sequence));
  private final Random random;
  private final double lossProbability;
  private long nowMillis = 1_000_000;
  private long nextSequence;
  private boolean platformUp = true;

  FleetSimulation(long seed, double lossProbability) {
    this.random = new Random(seed);
    this.lossProbability = lossProbability;
  }

  static NodeId node(int number) {
    return new NodeId("node-" + number);
  }

  static Member member(NodeId node, long incarnation) {
    return new Member(
        node, incarnation, new NetworkAddress("10.0.0.1", 7000), new FailureDomainId("kgn-a"));
  }

  void start(NodeId node, long incarnation) {
    nodes.put(node, MembershipState.of(member(node, incarnation), nowMillis));
    establishedLinks.put(node, new HashSet<>());
    tick(node, incarnation);
  }

  void startAll(int count) {
    for (int i = 0; i < count; i++) {
      start(node(i), 1);
    }
  }

  /** Ends a process. Its VM either resets connections or stays silent. */
  void kill(NodeId node, boolean silent) {
    nodes.remove(node);
    establishedLinks.forEach(
        (other, links) ->
            breakLink(other, node, silent ? SILENCE_DETECTION_MILLIS : RESET_DETECTION_MILLIS));
  }

  void leave(NodeId node) {
    decide(node, new MembershipEvent.Leave(nowMillis));
    kill(node, false);
  }

  /** Cuts the network between two nodes, in both directions. */
  void cut(NodeId one, NodeId other) {
    cuts.add(Vector.of(one, other));
    cuts.add(Vector.of(other, one));
    breakLink(one, other, SILENCE_DETECTION_MILLIS);
    breakLink(other, one, SILENCE_DETECTION_MILLIS);
  }

  void healAll() {
    cuts.clear();
  }

  void setPlatformUp(boolean next) {
    platformUp = next;
  }

  void runFor(long millis) {
    long untilMillis = nowMillis + millis;
    while (!scheduled.isEmpty() && scheduled.peek().atMillis() <= untilMillis) {
      ScheduledAction next = scheduled.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    nowMillis = untilMillis;
  }

  Set<NodeId> running() {
    return nodes.keySet();
  }

  Vector<NodeId> viewOf(NodeId node) {
    return nodes.get(node).reachableOthers().map(Member::node).sorted();
  }

  MembershipState state(NodeId node) {
    return nodes.get(node);
  }

  /** Whether the view of every running node holds exactly the other running nodes. */
  boolean hasConverged() {
    return nodes.keySet().stream()
        .allMatch(
            node ->
                viewOf(node)
                    .equals(
                        Vector.ofAll(nodes.keySet()).reject(other -> other.equals(node)).sorted()));
  }

  private void schedule(long millis, Runnable action) {
    scheduled.add(new ScheduledAction(nowMillis + millis, nextSequence++, action));
  }

  private void tick(NodeId node, long incarnation) {
    MembershipState state = nodes.get(node);
    if (state == null || state.self().incarnation() != incarnation) {
      return;
    }
    decide(node, new MembershipEvent.Tick(nowMillis, random.nextLong()));
    schedule(TICK_MILLIS, () -> tick(node, incarnation));
  }

  private void decide(NodeId node, MembershipEvent event) {
    MembershipState state = nodes.get(node);
    if (state == null) {
      return;
    }
    var step = policy.decide(state, event);
    nodes.put(node, step.state());
    step.effects().forEach(effect -> perform(node, effect));
  }

  private boolean canReach(NodeId from, NodeId to) {
    return nodes.containsKey(to) && !cuts.contains(Vector.of(from, to));
  }

  private void perform(NodeId node, MembershipEffect effect) {
    if (effect instanceof MembershipEffect.Send send) {
      NodeId to = send.to().node();
      boolean arrives = canReach(node, to) && random.nextDouble() >= lossProbability;
      if (arrives) {
        schedule(
            1 + random.nextInt(MAX_LATENCY_MILLIS),
            () -> decide(to, new MembershipEvent.Received(node, send.message(), nowMillis)));
      }
    }
    if (effect instanceof MembershipEffect.SetLinks setLinks) {
      establishedLinks.get(node).retainAll(setLinks.members().map(Member::node).toJavaSet());
      setLinks
          .members()
          .map(Member::node)
          .reject(establishedLinks.get(node)::contains)
          .forEach(to -> dial(node, to));
    }
    if (effect instanceof MembershipEffect.Probe probe) {
      boolean reachable = canReach(node, probe.target().node());
      schedule(
          reachable ? 2 : PROBE_MILLIS,
          () ->
              decide(
                  node,
                  new MembershipEvent.ProbeCompleted(
                      probe.requester(), probe.target(), reachable, nowMillis)));
    }
    if (effect instanceof MembershipEffect.Register register && platformUp) {
      registered.put(node, register.self());
    }
    if (effect instanceof MembershipEffect.Register) {
      boolean succeeded = platformUp;
      schedule(
          5,
          () ->
              decide(
                  node, new MembershipEvent.Registered(succeeded, nowMillis, random.nextLong())));
    }
    if (effect instanceof MembershipEffect.SampleRegistrations) {
      Vector<Member> sample = platformUp ? Vector.ofAll(registered.values()) : Vector.empty();
      schedule(
          5, () -> decide(node, new MembershipEvent.Sampled(sample, nowMillis, random.nextLong())));
    }
  }

  private void dial(NodeId node, NodeId to) {
    MembershipState state = nodes.get(node);
    if (state == null || !state.links().contains(to) || establishedLinks.get(node).contains(to)) {
      return;
    }
    if (canReach(node, to) && canReach(to, node)) {
      establishedLinks.get(node).add(to);
      decide(node, new MembershipEvent.LinkUp(to, nowMillis));
      return;
    }
    decide(node, new MembershipEvent.LinkDown(to, nowMillis));
    schedule(REDIAL_MILLIS, () -> dial(node, to));
  }

  private void breakLink(NodeId node, NodeId to, long millis) {
    if (!nodes.containsKey(node) || !establishedLinks.get(node).remove(to)) {
      return;
    }
    schedule(
        millis,
        () -> {
          decide(node, new MembershipEvent.LinkDown(to, nowMillis));
          schedule(REDIAL_MILLIS, () -> dial(node, to));
        });
  }
}
